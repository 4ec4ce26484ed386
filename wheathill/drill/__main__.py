"""Runs the simulator adapter, under the module name used by the deploy file."""

from wheathill.simulator.adapter import main

raise SystemExit(main())
