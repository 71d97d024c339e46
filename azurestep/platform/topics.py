"""Topics and keys of the platform's store that azurestep uses."""

OPERATOR_TOPIC = "keyed.op"
"""The operators write it; azurestep only reads it."""
CONFIGURATION_KEY = "config"
MEMBERS_TOPIC = "keyed.azurestep-nodes"
"""One key for each node: its address; the value says where it takes links."""
