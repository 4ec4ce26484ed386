"""Which configuration changes take effect on reload, and which need a restart."""

# Keys whose changes, including all nested keys, need no restart. `seed` is only
# used at startup, and `known` at startup and, without discovery, on reload.
RELOADABLE_KEYS = (
    "discovery",
    "limits",
    "settings.listeners",
    "settings.tenants",
    "settings.limits.connectTimeoutS",
    "settings.limits.idleCloseS",
    "known",
    "seed",
)


def keys_needing_restart(old: object, new: object, path: str = "") -> list[str]:
    """Return the paths of the changed keys that take effect only after a restart."""
    if path in RELOADABLE_KEYS or old == new:
        return []
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [path]
    return [
        changed
        for key in dict.fromkeys([*old, *new])
        for changed in keys_needing_restart(
            old.get(key), new.get(key), f"{path}.{key}" if path else key
        )
    ]
