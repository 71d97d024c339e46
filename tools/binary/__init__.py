"""Builds the one binary (see docs/design/binary.md)."""
