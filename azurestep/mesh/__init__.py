"""The node: a proxy between callers and backend servers on the users' platform."""
