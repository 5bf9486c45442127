"""Placement decisions: copies, choice of replica, eviction, load order."""
