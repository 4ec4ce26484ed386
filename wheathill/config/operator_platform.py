"""Conversion of an operator's file to the platform's configuration format."""

import hashlib
from typing import Any

from wheathill.config.operator_tables import File, Fleet, Limits, ListenerTable

# Maps the value of `repeat` in the operator's file to the platform's value.
PLATFORM_REPEAT_VALUES = {
    "repeatable": "retryable",
    "referenced": "dedup",
    "once-only": "fragile",
}
# Length of the default seed, which is a hash of the proxy's name and address, in bytes.
SEED_BYTES = 8


def platform_values(file: File) -> dict[str, Any]:
    """Return the configuration in the format that `build_node_config` takes."""
    limits = file.limits
    return {
        "name": file.name,
        "listen": file.listen,
        "discovery": file.discovery or False,
        "seed": file.seed or _default_seed(file),
        "admin_addr": file.admin_addr,
        "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        "known": {"seq": 0, "whole": True, "hosts": _endpoints(file)},
        "settings": _settings(file),
    }


def _default_seed(file: File) -> str:
    """Return a seed that differs between proxies."""
    identity = f"{file.name} {file.listen}"
    return hashlib.blake2b(identity.encode(), digest_size=SEED_BYTES).hexdigest()


def _endpoints(file: File) -> list[dict[str, Any]]:
    return [
        {
            "host": server.name,
            "dial": server.address,
            "site": server.zone,
            "block": server.cell,
            "health": server.state,
            "share": server.weight,
            "born_ms": 0,
        }
        for server in file.server
    ]


def _settings(file: File) -> dict[str, Any]:
    fleet = file.fleet
    return {
        "listeners": [_listener(listener) for listener in file.listener],
        "tenants": [{"name": name} for name in file.desk],
        "dcs": file.zone,
        "zone": file.zone.index(file.own_zone) if file.own_zone else 0,
        "balancers": fleet.proxies,
        "slots": fleet.slots,
        "weightSource": "nominal" if fleet.weights == "registered" else "off",
        "limits": _session_limits(file.limits, fleet),
        "obligations": _obligations(fleet),
        "goal": {"logLossPart": file.goal.nines, "ninesFull": file.goal.nines_full},
        "prices": {"crossZone": file.prices.crossing, "moves": file.prices.move},
        "report": {
            "how": "on_probe" if fleet.probes else "off",
            "names": fleet.report_fields,
        },
        "familyInfo": {
            "mode": "pass" if file.packets_pass else "proxy",
            "groups": file.groups,
            "messageAimS": [
                listener.message_target_ms / 1000 for listener in file.listener
            ],
        },
    }


def _listener(listener: ListenerTable) -> dict[str, Any]:
    return {
        "name": listener.name,
        "repeat": PLATFORM_REPEAT_VALUES[listener.repeat],
        "dedupScope": listener.scope,
        "windowS": listener.window_s,
        "handshakeTargetS": listener.handshake_target_ms / 1000,
        "dialTimeoutS": listener.dial_timeout_ms / 1000,
        "utility": listener.utility,
    }


def _session_limits(limits: Limits, fleet: Fleet) -> dict[str, Any]:
    return {
        "maxDials": limits.dials,
        "mayProbe": fleet.probes,
        "retryAfter": limits.longest_wait_ms > 0,
        "maxRetryAfterS": limits.longest_wait_ms / 1000,
        "connectTimeoutS": limits.connect_ms / 1000,
        "idleCloseS": limits.idle_s,
    }


def _obligations(fleet: Fleet) -> dict[str, Any]:
    obligations: dict[str, Any] = {
        "drainGraceS": fleet.drain_grace_ms / 1000,
        "startCapacity": fleet.cold_start_share,
        "coldS": fleet.cold_s,
        "tipMultiple": fleet.cold_multiple,
        "tipAfterS": fleet.cold_window_ms / 1000,
        "onlyDrainingBinds": fleet.only_draining_binds,
    }
    if fleet.further_dials_s:
        obligations["ratioSpanS"] = fleet.further_dials_s
        obligations["freeResends"] = fleet.further_dials_free
        obligations["resendRatio"] = fleet.further_dials_share
    return obligations
