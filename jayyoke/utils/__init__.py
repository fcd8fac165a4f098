"""Small helpers without domain knowledge."""
