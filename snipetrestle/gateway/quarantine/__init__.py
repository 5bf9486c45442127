"""Requests and prompts that crash replicas, and are refused for a while."""
