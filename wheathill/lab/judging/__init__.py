"""Checks of a run's events against the rules, and the mutants and baseline policies to compare with."""
