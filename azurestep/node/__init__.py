"""The process beside a backend server, assembled from its services."""
