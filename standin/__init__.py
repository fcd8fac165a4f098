"""Stand-ins of the platform and the upstreams, for tests and the demo."""
