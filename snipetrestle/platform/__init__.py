"""Adapter to the users' platform: its key names, formats and calls, without policy."""
