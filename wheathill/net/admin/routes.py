"""Maps paths and methods to handlers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wheathill.net.admin.errors import HttpError
from wheathill.net.admin.request_target import RequestTarget


@dataclass(frozen=True)
class Route:
    """The handler for a path and a method.

    Attributes:
        handler: called with the values of the parameters; returns the body of the
            response, or raises `HttpError`.
        parameters: names of query parameters, each required exactly once.
    """

    handler: Callable[..., Any]
    parameters: tuple[str, ...] = ()


class Routes:
    """Routing table by path and method, in the order of addition."""

    def __init__(self) -> None:
        self._routes: dict[str, dict[str, Route]] = {}

    def add(
        self, method: str, path: str, handler: Callable[..., Any], *parameters: str
    ) -> None:
        """Add a route; see `Route`."""
        self._routes.setdefault(path, {})[method] = Route(handler, parameters)

    def answer(self, method: str, target: RequestTarget) -> Any:  # noqa: ANN401 - JSON
        """Call the handler and return the body of the response.

        Raises:
            HttpError: The path is unknown, does not support the method, a parameter is
                missing or repeated, or the handler raised the error.
        """
        routes = self._routes.get(target.path)
        if routes is None:
            known_paths = ", ".join(self._routes)
            raise HttpError(404, f"no such path; known here: {known_paths}")
        if method not in routes:
            raise HttpError(
                405,
                f"{target.path} takes {' or '.join(routes)}",
                Allow=", ".join(routes),
            )
        route = routes[method]
        return route.handler(*map(target.single_value, route.parameters))
