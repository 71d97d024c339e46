"""What commands write: JSON for programs, tables for people."""
