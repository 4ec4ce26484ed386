"""All decisions of the balancer, free of I/O: see `balancer` for how they are joined."""
