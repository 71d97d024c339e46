"""Quotas of teams, enforced by all nodes together."""
