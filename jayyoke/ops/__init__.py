"""Routing and control decisions."""
