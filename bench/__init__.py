"""Benchmarks and fuzz models of the decisions and of the request path."""
