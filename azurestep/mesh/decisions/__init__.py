"""Decisions under load: placement, admission, shedding, retries, health. Pure."""
