"""Stateful fuzzing of the promises against a simple oracle."""
