"""What judges a run, and what the judges are tried on: broken proxies, other policies."""
