"""Frames and connections between instances."""
