"""Decisions on the memory and descriptors that clients may take, against crowds without limits."""
