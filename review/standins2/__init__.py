"""Stand-ins and runner of the scripts of the second review."""
