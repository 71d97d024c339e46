"""How nodes act together: membership, spreading, following the log."""
