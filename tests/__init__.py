"""Tests that span several packages, with real processes."""
