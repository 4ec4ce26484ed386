"""The worlds that a script is played in: virtual time in memory, and loopback sockets."""
