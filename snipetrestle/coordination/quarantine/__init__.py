"""Prompts and requests that crash replicas, as hosts tell each other."""
