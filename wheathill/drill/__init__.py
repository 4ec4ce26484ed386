"""An entry for the simulator, see `wheathill.simulator`."""
