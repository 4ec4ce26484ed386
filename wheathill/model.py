"""What the decisions are about, and the actions they may call for.

Times are milliseconds with fractions. These objects point to each other; ids of any
wire stay with the adapter, except `Server.name`, which the slot table has to hash.
"""

import enum
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

LIST_CALL = 40.0  # ms that one call may take a service which tells all proxies the list, where nothing tells
LIST_LONGEST = 2750.0  # ms between two calls: two within the 6 s after which a change counts as told


class Repeat(enum.Enum):
    REPEATABLE = "repeatable"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Phase(enum.Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    BY_HAND = "by hand"
    FAILED = "failed"


class Outcome(enum.Enum):
    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    OVERDUE = "overdue"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"

    @property
    def never_ran(self):
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)


@dataclass(eq=False)
class Listener:
    name: str
    repeat: Repeat = Repeat.REPEATABLE
    scope: str = "all"  # of a referenced listener: all, zone or cell
    window: float = 0.0
    handshake_target: float = 500.0
    dial_timeout: float = 2000.0
    message_target: float = 100.0
    utility: float = 1.0


class Last(list):
    """The last so many of what is appended. There are four to a server, and most are empty: where thousands are listed,
    deques, which take 0.6 KB each from the start, are most of a proxy's memory."""

    __slots__ = ("most",)

    def __init__(self, most):
        self.most = most

    def append(self, what):
        super().append(what)
        del self[: -self.most]

    def extend(self, found):
        super().extend(found)
        del self[: -self.most]


@dataclass(eq=False)
class Server:
    name: str
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started: float | None = None  # None: long ago
    phase: Phase = Phase.READY  # as listed, but for one that is out by hand
    listed: Phase = Phase.READY
    doubted: bool = (
        False  # its list says gone, which does not bind: one more sign and it is
    )
    told: float = 0.0  # when this proxy heard that it drains or is gone
    draws: Sequence[int] = ()  # by slot, from its name
    pull: float = 1.0  # what they count for
    samples: Last = field(default_factory=partial(Last, 2))  # (time, load figure)
    probed: float | None = None  # when the probe that is out was sent
    took: Last = field(
        default_factory=partial(Last, 2)
    )  # (time, ms until a probe was answered)
    asked: float = -math.inf  # when the last probe was sent
    silent: int = 0  # probes without an answer since the last one answered
    results: Last = field(default_factory=partial(Last, 8))  # (time, went well)
    dialled: Last = field(default_factory=partial(Last, 128))  # when
    cold_dials: list = field(
        default_factory=list
    )  # while it was cold, of the last window: when
    late: float = -math.inf  # when a message there was last said to miss its target
    doubt: float = 1.0  # what its reports are multiplied by
    heard: float = -math.inf  # when anything last came from there
    unheard: "Session | None" = None  # a line of it waits for an answer since
    shift_after: float = 0.0
    move_after: float = 0.0
    sessions: dict = field(default_factory=dict)  # open here, in order of arrival


@dataclass(eq=False)
class Dial:
    server: Server
    sent: float
    may_have_run: bool = True


@dataclass(eq=False)
class Session:
    listener: Listener
    key: str
    deadline: float
    tenant: int = 0
    group: str | None = None
    load: float | None = None
    mid_flow: bool = False
    returning: bool = False  # after a break or a move
    repeat: bool = False  # its client tried before
    slot: int = 0
    server: Server | None = None  # of the dial that is out or accepted
    dials: list = field(default_factory=list)
    choices: Iterator[Server] | None = None  # whom to try next
    spare: Server | None = (
        None  # looked ill: to be dialled where no server that is well was met
    )
    far: Server | None = None  # has room, but the way there is slow
    home: Server | None = None  # first of those it may have that are well
    place: int = 0
    met_full: bool = False  # a server that is well had no room for it
    asked: int = 0  # servers probed for it
    accepted: float | None = None  # when
    ended: bool = False


class Actions(Protocol):
    """What the decisions ask of whatever carries the sessions: the drill or a proxy."""

    def dial(self, sess: Session, server: Server, time_out: float) -> None: ...
    def refuse(self, sess: Session, come_back_after: float) -> None: ...
    def tear_down(self, sess: Session) -> None: ...
    def move(self, sess: Session) -> None: ...
    def probe(self, server: Server) -> None: ...
    def follow_list(self, on: bool) -> None: ...
    def alarm(self, name: str, at: float) -> None: ...
    def log(self, text: str) -> None: ...
