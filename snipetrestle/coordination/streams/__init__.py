"""Which software version began a stream, as hosts tell each other."""
