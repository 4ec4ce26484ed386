"""Peers in a fleet of zones: membership within zones, and summaries between them.

The leaders of each zone exchange the summaries. This package is imported only if the
configuration file names a zone. See docs/design/zones.md.
"""
