"""Cores that live without sockets, each among many of its kind."""
