"""Reading the nodes' log lines: what became of a request, and what was lost and why."""
