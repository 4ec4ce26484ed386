"""Collects the messages of another process's state, up to a limit."""

from wheathill.config.limits import ProxyLimits
from wheathill.handover.errors import HandoverError
from wheathill.handover.restore import RestoredState
from wheathill.handover.state_codec import decode_snapshot
from wheathill.handover.validation import require_type, shorten
from wheathill.net.proxy import Proxy

MIN_LIST_ENTRY_BYTES = 40  # shortest valid entry of discovery's endpoint list
LIST_SECTIONS = ("servers", "moved", "exceptions", "ids", "names")
OBJECT_SECTIONS = ("table", "rest")


class StateReceiver:
    """Collects the sections of a state, each from one or more messages.

    Attributes:
        shares_session_ids: whether the state was applied, and its sender understands
            the session ids that this process takes.
    """

    def __init__(self, limits: ProxyLimits) -> None:
        self.shares_session_ids = False
        self._limits = limits
        # An empty section is not sent, except that of the servers.
        self._sections: dict = {
            section: [] for section in LIST_SECTIONS if section != "servers"
        }

    def add(self, section: str, value: object) -> None:
        """Add the value that a message has for a section.

        Raises:
            HandoverError: if the section is unknown or has too many entries.
        """
        if section in LIST_SECTIONS:
            entries = self._sections.setdefault(section, [])
            entries += require_type(value, list)
            if len(entries) > self._max_entries(section):
                raise HandoverError(
                    f"more than {self._max_entries(section)} entries in {section}"
                )
        elif section in OBJECT_SECTIONS:
            self._sections[section] = require_type(value, dict)
        else:
            raise HandoverError(f"{shorten(section)!r} is not a section of the state")

    def apply(self, proxy: Proxy) -> None:
        """Fill a new proxy with the state.

        Raises:
            HandoverError: if the state is invalid; the proxy is unchanged then.
        """
        try:
            state = RestoredState.build(decode_snapshot(self._sections))
        except (KeyError, TypeError, IndexError, AttributeError) as error:
            raise HandoverError(f"malformed state: {error!r}") from None
        state.apply(proxy)
        self.shares_session_ids = state.shares_session_ids

    def _max_entries(self, section: str) -> int:
        """Return the maximum number of entries of a section in one process.

        The longest endpoint list limits the servers, and descriptors limit the session
        ids: an open session takes two, and beyond `max_session_ids` at most as many ids
        of ended sessions are kept as there are open sessions. The servers are received
        before the names, so that their number is known by then.
        """
        limits = self._limits
        match section:
            case "servers":
                return limits.max_list_line_bytes // MIN_LIST_ENTRY_BYTES
            case "ids":
                return limits.max_session_ids + limits.max_sockets
            case "names":
                return limits.max_unlisted_names + len(
                    self._sections.get("servers", ())
                )
        return limits.max_session_ids + limits.max_unlisted_names
