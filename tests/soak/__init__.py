"""Randomized soak test: gateway processes under injected faults, with an oracle."""
