"""Event streams, and which software version may go on with each of them."""
