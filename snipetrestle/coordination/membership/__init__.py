"""What hosts agree on: which of them there are, who leads, and who owns a key."""
