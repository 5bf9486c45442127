"""Small stand-ins for the systems around the daemons, for tests and the demo."""
