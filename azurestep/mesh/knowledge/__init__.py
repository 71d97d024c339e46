"""What a node knows of the fleet: the configuration and the other nodes."""
