"""A fleet of zones: membership within each zone, and between zones what leaders send.

Imported only where the operator's file names a zone. docs/design/zones.md.
"""
