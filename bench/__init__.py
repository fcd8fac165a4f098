"""Measurements of the decisions and of the request path."""
