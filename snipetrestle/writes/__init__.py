"""Non-idempotent writes that run at most once."""
