"""Simulations of single components, such as membership and the store, in clusters without sockets."""
