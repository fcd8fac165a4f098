"""Decisions after the store has come back from an older copy, in a newer era."""
