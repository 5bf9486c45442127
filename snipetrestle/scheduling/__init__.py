"""Order of queued requests: classes, fairness, batch grouping and ageing."""
