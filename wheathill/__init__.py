"""wheathill: a balancer for long-lived connections."""
