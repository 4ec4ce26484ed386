"""Who lives in a world beside the proxies: stand-ins for gateways, their session store, discovery, clients, operators."""
