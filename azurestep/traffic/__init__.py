"""Requests: from a caller to a backend server and back."""
