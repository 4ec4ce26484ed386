"""The proxy on sockets: state machines that are fed bytes, a driver, and what joins them to the decisions."""
