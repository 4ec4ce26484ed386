"""Settings like those that the operators' sites state, for one small proxy each."""

import copy
from typing import Any

# In the form of the settings that the platform hands over at start; the figures are
# within the ranges of the site order-entry-pl.
ORDER_ENTRY: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "zone": 0,
    "dcs": ["a", "b"],
    "clientHabits": {"marksRetry": True},
    "familyInfo": {
        "groups": False,
        "messageAimS": [0.05, 0.15],
        "mode": "pass",
        "parkS": 4.0,
        "tellsDelay": True,
        "tellsLoad": True,
    },
    "goal": {"whole": 0.45, "worstClass": 0.4, "worstTenant": 0.1, "worstWindow": 0.05},
    "limits": {
        "connectTimeoutS": 0.25,
        "idleCloseS": 30.0,
        "maxDials": 6,
        "maxRetryAfterS": 1.5,
        "mayCancel": True,
        "mayProbe": True,
        "peers": False,
        "retryAfter": True,
        "secondCopies": False,
    },
    "listeners": [
        {
            "name": "order-replace",
            "repeat": "retryable",
            "dedupScope": "all",
            "windowS": 5.0,
            "handshakeTargetS": 0.5,
            "dialTimeoutS": 3.0,
            "utility": 5.0,
            "stream": True,
        },
        {
            "name": "status-read",
            "repeat": "retryable",
            "dedupScope": "all",
            "windowS": 5.0,
            "handshakeTargetS": 0.5,
            "dialTimeoutS": 2.0,
            "utility": 2.0,
            "stream": True,
        },
    ],
    "membershipMode": "automatic",
    "obligations": {
        "askEveryS": 10.0,
        "coldS": 20.0,
        "drainGraceS": 0.5,
        "startCapacity": 0.12,
        "tipAfterS": 1.0,
        "tipMultiple": 4.0,
    },
    "prices": {"crossZone": 0.03, "moves": 0.038},
    "report": {"how": "on_probe", "names": ["active", "cpu", "x0"]},
    "serviceType": "conn",
    "weightSource": "nominal",
}


def order_entry() -> dict[str, Any]:
    """Return settings like those of order-entry-pl."""
    return copy.deepcopy(ORDER_ENTRY)


def edinburgh_main() -> dict[str, Any]:
    """Return settings like those of edinburgh-main; connections end at the proxy."""
    settings = order_entry()
    settings["dcs"] = ["south-gyle", "newbridge"]
    settings["familyInfo"]["mode"] = "proxy"
    settings["familyInfo"]["messageAimS"] = [0.1, 0.05]
    settings["listeners"] = [
        {
            "name": "ledger-watch",
            "repeat": "retryable",
            "dedupScope": "all",
            "windowS": 5.0,
            "handshakeTargetS": 0.8,
            "dialTimeoutS": 4.8,
            "utility": 1.0,
            "stream": True,
        },
        {
            "name": "funding-status",
            "repeat": "retryable",
            "dedupScope": "all",
            "windowS": 5.0,
            "handshakeTargetS": 0.8,
            "dialTimeoutS": 4.8,
            "utility": 3.0,
            "stream": True,
        },
    ]
    settings["limits"]["connectTimeoutS"] = 0.2
    settings["limits"]["maxDials"] = 3
    settings["obligations"] = {
        "askEveryS": 10.0,
        "coldS": 8.7,
        "drainGraceS": 0.5,
        "startCapacity": 0.3,
        "tipAfterS": 1.0,
        "tipMultiple": 3.0,
    }
    settings["prices"] = {"crossZone": 0.028, "moves": 0.043}
    settings["report"]["names"] = ["cpu", "x0"]
    return settings
