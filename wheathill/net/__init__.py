"""The proxy on sockets: protocol state machines, what feeds them, and their wiring."""
