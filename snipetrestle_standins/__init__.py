"""Stand-ins for the systems that the daemons talk to, for tests and the demo."""
