"""Host membership, leader election, and the leader's placement of adapters on replicas."""
