"""Network listeners."""
