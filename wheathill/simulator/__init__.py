"""The simulator adapter: runs proxies within the simulator, without sockets."""
