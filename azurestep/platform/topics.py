"""Topics and keys used in the platform's store."""

OPERATOR_TOPIC = "keyed.op"
"""Written by the operators, read-only for azurestep."""
CONFIGURATION_KEY = "config"
MEMBERS_TOPIC = "keyed.azurestep-nodes"
"""Records of all nodes by IP address, see ``members``."""
