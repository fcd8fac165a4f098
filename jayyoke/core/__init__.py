"""Immutable records, the exception tree and the plug-in registry."""
