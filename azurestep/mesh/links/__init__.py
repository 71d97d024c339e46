"""Links between nodes: requests, outcomes, state and configurations."""
