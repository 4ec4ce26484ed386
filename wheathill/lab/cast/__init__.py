"""Simulated surroundings of the proxies: gateways, session store, discovery, clients and operators."""
