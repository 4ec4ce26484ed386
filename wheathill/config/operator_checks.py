"""Consistency checks between the keys of an operator's file."""

from collections.abc import Iterator

from wheathill.config import peers
from wheathill.config.addresses import parse_address
from wheathill.config.errors import ConfigurationError
from wheathill.config.operator_tables import File


def consistency_errors(file: File) -> Iterator[str]:
    """Yield a message for each value that is valid but inconsistent with others."""
    yield from _duplicate_name_errors(file)
    yield from _retry_budget_errors(file)
    yield from _zone_errors(file)
    if file.discovery is None and not file.server:
        yield "discovery: is missing, and no server is listed"
    yield from _listener_errors(file)
    yield from _address_errors(file)
    if file.peers is not None:
        yield from peers.consistency_errors(
            file.peers, proxy_name=file.name, fleet_size=file.fleet.proxies
        )


def _duplicate_name_errors(file: File) -> Iterator[str]:
    names_by_key = {
        "listener": [item.name for item in file.listener],
        "desk": file.desk,
        "zone": file.zone,
        "server": [item.name for item in file.server],
    }
    for key, names in names_by_key.items():
        for index, name in enumerate(names):
            first_index = names.index(name)
            if first_index < index:
                yield (
                    f"{key}[{index}]: {name!r} is already used by {key}[{first_index}]"
                )


def _retry_budget_errors(file: File) -> Iterator[str]:
    fleet = file.fleet
    has_retry_budget = fleet.further_dials_free or fleet.further_dials_share
    if has_retry_budget and not fleet.further_dials_s:
        yield (
            "fleet.further_dials_s: is required with"
            " further_dials_free or further_dials_share"
        )


def _zone_errors(file: File) -> Iterator[str]:
    if file.own_zone is not None and file.own_zone not in file.zone:
        yield f"own_zone: {file.own_zone!r} is not listed in zone"
    for index, server in enumerate(file.server):
        if server.zone is not None and server.zone not in file.zone:
            yield f"server[{index}].zone: {server.zone!r} is not listed in zone"


def _listener_errors(file: File) -> Iterator[str]:
    for index, listener in enumerate(file.listener):
        key = f"listener[{index}]"
        if listener.handshake_target_ms > listener.dial_timeout_ms:
            yield f"{key}.handshake_target_ms: exceeds dial_timeout_ms"
        if listener.repeat == "referenced" and not listener.window_s:
            yield (
                f"{key}.window_s: a referenced listener requires the deduplication"
                " window of its servers"
            )


def _address_errors(file: File) -> Iterator[str]:
    addresses = [
        ("listen", file.listen),
        ("discovery", file.discovery),
        ("admin_addr", file.admin_addr),
        *(
            (f"server[{index}].address", server.address)
            for index, server in enumerate(file.server)
        ),
    ]
    for key, text in addresses:
        if text is not None:
            try:
                parse_address(text, key)
            except ConfigurationError as error:
                yield str(error)
