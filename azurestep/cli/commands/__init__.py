"""One module per command."""
