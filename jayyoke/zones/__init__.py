"""Decisions on when a request leaves the failure domain of its instance, free of I/O."""
