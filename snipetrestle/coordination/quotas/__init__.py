"""Tenants' quotas: the units that their owners issue."""
