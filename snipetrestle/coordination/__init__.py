"""Host membership, leader election, and placement of adapters on replicas."""
