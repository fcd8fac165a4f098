"""Readers of settings and configuration files."""
