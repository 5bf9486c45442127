"""Tenants of the gateway: who calls, and how much each of them may ask."""
