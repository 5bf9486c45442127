"""Callers' connections: HTTP requests arrive, responses are written."""
