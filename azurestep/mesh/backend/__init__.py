"""The backend server beside a node: admit, run, watch."""
