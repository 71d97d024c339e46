"""Experiments that run real processes and measure them."""
