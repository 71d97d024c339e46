"""Randomized runs of real nodes under faults that come from outside them.

Each seed starts a small fleet of node processes on loopback addresses, with
stand-ins of the platform's store and of backend servers in this process and relays
on every way between them. A plan of faults, drawn from the seed, is carried out
while callers send requests; what callers and backend servers saw is checked
against the promises.
"""
