"""Client of the model engines, and the ownership of engine replicas by daemons."""
