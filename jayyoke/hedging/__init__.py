"""Decides when a request that may be repeated is sent to a second upstream."""
