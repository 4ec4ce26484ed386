"""The `[peers]` table of an operator's file: whom an instance talks to, and with which key."""

import os
import stat
from dataclasses import dataclass

from wheathill.config import Misconfigured, address

LEAST_KEY, MOST_KEY = 16, 4096


@dataclass(frozen=True)
class Told:
    """What an instance is told of its peers. Addresses are "HOST:PORT", `listen` is (host, port); times in ms."""

    name: str
    cluster: str
    listen: tuple
    advertise: str          # where the others reach it
    seeds: tuple
    key: bytes
    roster: tuple           # who is meant to be there; none: `fleet.proxies` says how many
    control: str | None     # the path of the control socket
    period: float
    patience: float


def contradictions(file):
    peers = file.peers
    for what, text in (("listen", peers.listen), ("advertise", peers.advertise),
                       *((f"seeds[{place}]", text) for place, text in enumerate(peers.seeds))):
        if text is not None:
            try:
                address(text, f"peers.{what}")
            except Misconfigured as wrong:
                yield str(wrong)
    if peers.patience_ms >= peers.period_ms:
        yield "peers.patience_ms: is not under peers.period_ms"
    if peers.roster and (peers.name or file.name) not in peers.roster:
        yield f"peers.roster: {peers.name or file.name!r}, this instance, is not one of them"
    if len(dict.fromkeys(peers.roster)) != len(peers.roster):
        yield "peers.roster: a name stands twice"


def told_of(file):
    """Raises Misconfigured where the key can't be used."""
    peers = file.peers
    return Told(name=peers.name or file.name, cluster=peers.cluster, listen=address(peers.listen, "peers.listen"),
                advertise=peers.advertise or peers.listen, seeds=tuple(peers.seeds), key=read_key(peers.key_file),
                roster=tuple(peers.roster), control=peers.control, period=peers.period_ms,
                patience=peers.patience_ms)


def read_key(path):
    """The file's bytes, but for white space at its end. Only its owner, who runs this, may read it."""
    try:
        with open(path, "rb") as source:
            state = os.fstat(source.fileno())
            key = source.read(MOST_KEY + 1).rstrip()
    except OSError as wrong:
        raise Misconfigured(f"peers.key_file: {wrong}") from None
    if state.st_uid != os.geteuid() or stat.S_IMODE(state.st_mode) & 0o077:
        raise Misconfigured(f"peers.key_file: {path} must be readable by its owner alone, who starts the proxy")
    if not LEAST_KEY <= len(key) <= MOST_KEY:
        raise Misconfigured(f"peers.key_file: {path} holds {len(key)} bytes, expected {LEAST_KEY} to {MOST_KEY}")
    return key
