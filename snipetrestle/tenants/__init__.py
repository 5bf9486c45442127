"""Tenants of the gateway: the authentication of callers, and the quotas of tenants."""
