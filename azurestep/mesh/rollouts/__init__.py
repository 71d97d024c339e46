"""Roll-outs of versions: evidence from all nodes, decisions, statuses."""
