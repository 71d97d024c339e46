"""Clients of the services that the platform gives."""
