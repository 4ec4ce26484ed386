"""All decisions of the balancer, free of I/O: `balancer` takes what happens."""
