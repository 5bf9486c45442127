"""Customers' limits, held over all daemons as shares."""
