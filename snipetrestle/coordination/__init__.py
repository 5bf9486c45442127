"""How the hosts find each other and agree on the one that orders the replicas."""
