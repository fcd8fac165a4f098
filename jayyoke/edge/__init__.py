"""Routing decisions and forwarding of the entry instances on the users' machines."""
