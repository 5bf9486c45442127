"""What the platform's store publishes: configuration, replicas, adapter versions."""
