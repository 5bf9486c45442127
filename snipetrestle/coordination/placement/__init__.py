"""The leader's orders to replicas, and where adapters are."""
