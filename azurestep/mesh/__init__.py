"""The lean node: callers in, backend servers out, on the users' platform."""
