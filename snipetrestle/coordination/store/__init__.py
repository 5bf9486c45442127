"""What hosts know together of the published store, and who reads it."""
