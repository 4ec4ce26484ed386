"""The simulator's adapter: plays proxies in the simulator's world, without sockets."""
