"""Loads and limits of replicas that all hosts share, and permits to send to them."""
