"""Control plane of a node: membership, configuration distribution, log replication."""
