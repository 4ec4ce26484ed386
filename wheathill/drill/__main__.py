"""The simulator's adapter under the name by which the deploy file starts it."""

from wheathill.simulator.adapter import main

raise SystemExit(main())
