"""Decisions on duties of which one instance at a time takes care."""
