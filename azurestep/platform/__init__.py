"""Clients and data formats of the users' platform."""
