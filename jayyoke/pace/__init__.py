"""Decisions about upstreams that are slower than usual for a moment."""
