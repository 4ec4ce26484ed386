"""The balancing policy, free of I/O; `balancer` is its entry point for events."""
