"""Entry point for the simulator, see `wheathill.simulator`."""
