"""Seeded plays of planned restarts that meet other disruptions."""
