"""The experiment tool, its report, and the generator of random sites."""
