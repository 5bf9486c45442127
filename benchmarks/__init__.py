"""Benchmarks. Each prints its figures and, as its last line, one JSON object."""
