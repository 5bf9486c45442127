"""HTTP interface for callers and the entry role."""
