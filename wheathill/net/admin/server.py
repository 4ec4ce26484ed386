"""The admin endpoint: accepts requests and handles them."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from wheathill.net.admin.errors import HttpError
from wheathill.net.admin.request import AdminRequest
from wheathill.net.admin.request_target import RequestTarget
from wheathill.net.admin.routes import Routes

# Needed for type checking only; not importing them at run time saves memory.
if TYPE_CHECKING:
    from wheathill.net.admin.interfaces import AdminConnection, AdministeredProxy


class AdminServer:
    """Serves a limited number of requests at a time, using reserved descriptors."""

    def __init__(self, proxy: "AdministeredProxy") -> None:
        self._proxy = proxy
        # Open request -> time of its acceptance in ms, oldest first.
        self._requests: dict[AdminRequest, float] = {}
        self._routes = Routes()
        add = self._routes.add
        add("GET", "/status", self._status)
        add("GET", "/status/metrics", proxy.metrics_report)
        add("PUT", "/maintenance/enter", partial(self._set_maintenance, True), "host")
        add("PUT", "/maintenance/exit", partial(self._set_maintenance, False), "host")

    def add_route(
        self, method: str, path: str, handler: Callable[..., Any], *parameters: str
    ) -> None:
        """Add a route for another component; see `routes.Route`."""
        self._routes.add(method, path, handler, *parameters)

    def accept(self, connection: "AdminConnection") -> AdminRequest:
        """Accept a connection and return the machine that reads its request."""
        proxy = self._proxy
        request = AdminRequest(connection, self.answer, proxy.limits, proxy.clock)
        self._requests[request] = proxy.now()
        return request

    def make_room(self) -> bool:
        """Return whether another request can be accepted; may evict an old one.

        A silent client must not block others, so the oldest silent request is closed.
        It is spared for a minimum time and while it has unread bytes; otherwise, of
        fifty clients that connect at once, the one that has sent a request could be
        closed.
        """
        for request in [
            each for each in self._requests if not each.connection.holds_descriptor
        ]:
            del self._requests[request]
        if len(self._requests) < self._proxy.limits.max_admin_requests:
            return True
        silent_since = self._proxy.now() - self._proxy.limits.min_idle_to_evict_ms
        for request, since in self._requests.items():
            if (
                request.done
                or since < silent_since
                and not _has_unread(request.connection)
            ):
                del self._requests[request]
                request.evict()
                return True
        return False

    def answer(self, method: str, target: RequestTarget) -> Any:  # noqa: ANN401 - JSON
        """Return the body of the response, or raise `HttpError`."""
        return self._routes.answer(method, target)

    def _status(self) -> dict[str, str]:
        proxy = self._proxy
        if proxy.ready and not proxy.handed_over:
            return {"status": "ready"}
        if proxy.stopping_since_ms is not None:
            raise HttpError(503, "stopping")
        if proxy.handed_over:
            raise HttpError(503, "handed over to another process")
        raise HttpError(503, "starting")

    def _set_maintenance(self, out: bool, name: str) -> dict[str, Any]:
        if not self._proxy.known_names:
            raise HttpError(503, "starting")
        if name not in self._proxy.known_names:
            raise HttpError(404, f"{name!r} was never listed here")
        try:
            is_persistent = self._proxy.set_maintenance(name, out)
        except OSError as error:
            raise HttpError(
                500, f"nothing was changed, as it can't be kept: {error.strerror}"
            ) from None
        return {"host": name, "out": out, "kept": is_persistent}


def _has_unread(connection: "AdminConnection") -> bool:
    return connection.open and connection.has_unread_bytes
