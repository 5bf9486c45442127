"""Replicas of the backends as this host sees them, and connections to them."""
