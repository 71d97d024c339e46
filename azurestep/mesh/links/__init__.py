"""Links between nodes: requests, answers and news."""
