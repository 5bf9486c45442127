"""Forwards callers' HTTP requests unchanged to replicas, by published routes."""
