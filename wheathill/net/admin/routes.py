"""Which path and method leads to which handler."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wheathill.net.admin.errors import HttpError
from wheathill.net.admin.request_target import RequestTarget


@dataclass(frozen=True)
class Route:
    """What answers a path and a method.

    Attributes:
        handler: returns the body of the response, or raises `HttpError`. It is called
            with the values of the parameters.
        parameters: names that the query has to give once each.
    """

    handler: Callable[..., Any]
    parameters: tuple[str, ...] = ()


class Routes:
    """All routes, by path and method, in the order in which they were added."""

    def __init__(self) -> None:
        self._routes: dict[str, dict[str, Route]] = {}

    def add(
        self, method: str, path: str, handler: Callable[..., Any], *parameters: str
    ) -> None:
        """Add a route; see `Route`."""
        self._routes.setdefault(path, {})[method] = Route(handler, parameters)

    def answer(self, method: str, target: RequestTarget) -> Any:  # noqa: ANN401 - JSON
        """Return the body of the response.

        Raises:
            HttpError: There is no such path, it has no such method, a parameter is
                missing, or the handler raised it.
        """
        routes = self._routes.get(target.path)
        if routes is None:
            known = ", ".join(self._routes)
            raise HttpError(404, f"no such path; known here: {known}")
        if method not in routes:
            raise HttpError(
                405,
                f"{target.path} takes {' or '.join(routes)}",
                Allow=", ".join(routes),
            )
        route = routes[method]
        return route.handler(*map(target.single_value, route.parameters))
