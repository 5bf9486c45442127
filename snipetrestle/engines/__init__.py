"""Model engines: the client, the orders and the owner role."""
