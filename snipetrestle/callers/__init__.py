"""HTTP interface for callers, and routing of their requests to replicas."""
