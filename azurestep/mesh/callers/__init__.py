"""Handling of callers' requests: routing, choice of a backend server, answers."""
