"""What operators do: publish, wait, inspect."""
