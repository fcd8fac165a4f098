"""Policies, class kinds and upstream protocols that register themselves."""
