"""Codec between instances."""
