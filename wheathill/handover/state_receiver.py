"""The messages of another process's state, collected and bounded."""

from wheathill.config.limits import ProxyLimits
from wheathill.handover.errors import HandoverError
from wheathill.handover.restore import RestoredState
from wheathill.handover.state_codec import decode_snapshot
from wheathill.handover.validation import require_type, shorten
from wheathill.net.proxy import Proxy

SHORTEST_LIST_ENTRY = 40  # bytes of an entry of discovery's list that can be read
LIST_SECTIONS = ("servers", "moved", "exceptions", "ids", "names")
OBJECT_SECTIONS = ("table", "rest")


class StateReceiver:
    """Collects the sections of a state, each from one message or many."""

    def __init__(self, limits: ProxyLimits) -> None:
        self._limits = limits
        # Where nothing is known of the others no message comes; one with servers does.
        self._sections: dict = {
            section: [] for section in LIST_SECTIONS if section != "servers"
        }

    def add(self, section: str, value: object) -> None:
        """Take what a message says of one section.

        Raises:
            HandoverError: if there is no such section, or more of it than may be.
        """
        if section in LIST_SECTIONS:
            entries = self._sections.setdefault(section, [])
            entries += require_type(value, list)
            if len(entries) > self._max_entries(section):
                raise HandoverError(f"more than {self._max_entries(section)} {section}")
        elif section in OBJECT_SECTIONS:
            self._sections[section] = require_type(value, dict)
        else:
            raise HandoverError(f"{shorten(section)!r} is no part of the state")

    def apply(self, proxy: Proxy) -> None:
        """Give the state to a proxy that has just been made.

        Raises:
            HandoverError: if it cannot be used; the proxy is as it was.
        """
        try:
            state = RestoredState.build(decode_snapshot(self._sections))
        except (KeyError, TypeError, IndexError, AttributeError) as error:
            raise HandoverError(f"not a state: {error!r}") from None
        state.apply(proxy)

    def _max_entries(self, section: str) -> int:
        """Return how many of a section one process may hold.

        Bounded by its descriptors and by the longest list: a session takes two
        descriptors while, beyond the limit, there are no more ids of sessions that are
        over than of open ones. Servers come before their names.
        """
        limits = self._limits
        match section:
            case "servers":
                return limits.max_list_line_bytes // SHORTEST_LIST_ENTRY
            case "ids":
                return limits.max_session_ids + limits.max_sockets
            case "names":
                return limits.max_unlisted_names + len(
                    self._sections.get("servers", ())
                )
        return limits.max_session_ids + limits.max_unlisted_names
