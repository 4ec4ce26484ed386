"""The lab: scripted incidents played against the real proxy, in simulated time or on loopback sockets."""
