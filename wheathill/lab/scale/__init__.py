"""Scale tests: what one proxy costs as the fleet grows, measured over real loopback sockets."""
