"""What commands print."""
