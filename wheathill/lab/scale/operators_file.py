"""An operator's file for a daemon of the fleet under test."""

from wheathill.lab.worlds.processes import toml


def operators_file(
    name,
    listen,
    listeners,
    servers,
    meant,
    told=None,
    key_path=None,
    control=None,
    **more,
):
    """The text of a file as an operator writes it. `servers`: [(name, "HOST:PORT", state)]; `meant`: proxies in all;
    `told`: a `config.peers.PeerSettings`, or None for one without peers."""
    listed = [
        {"name": server, "address": where, "state": state}
        for server, where, state in servers
    ]
    values = {
        "name": name,
        "listen": listen,
        "listener": listeners,
        "seed": name,
        "fleet": {"proxies": meant},
        "server": listed,
        **more,
    }
    if told:
        zones = (
            {
                "zone": told.zone,
                "layout": told.layout.version,
                "zones": [
                    {
                        "name": zone.name,
                        "proxies": zone.proxies,
                        "seeds": list(zone.seeds),
                        "region": zone.region,
                        "part": zone.quota,
                        "was": zone.previous_quota,
                    }
                    for zone in told.layout.zones
                ],
            }
            if told.layout
            else {}
        )
        values["peers"] = {
            "cluster": told.cluster,
            "listen": "%s:%d" % told.listen,
            "seeds": list(told.seeds),
            "key_file": key_path,
            "control": control,
            "period_ms": told.probe_interval_ms,
            "patience_ms": told.probe_timeout_ms,
            **zones,
        }
    return "\n".join(toml(values)) + "\n"
