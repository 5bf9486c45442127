"""Batch work, held by two daemons in different failure domains."""
