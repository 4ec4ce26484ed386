"""What a running proxy takes from a configuration that is read again."""

# The keys whose change a running proxy takes over, with all below them. `known` and
# `seed` are for a start only.
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
    """Return the keys, by their paths, whose change takes effect at a restart only."""
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
