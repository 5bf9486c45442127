"""Communication between daemons: transport, membership, configuration spread."""
