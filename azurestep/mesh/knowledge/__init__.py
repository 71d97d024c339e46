"""A node's configuration, and the discovery of its peers."""
