"""Decisions under load: selection, admission, shedding, retries, health.

No I/O and no clock: times are passed in.
"""
