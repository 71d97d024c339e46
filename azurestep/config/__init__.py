"""The configuration: its model, checks, changes and history."""
