"""Topics and keys used in the platform's store."""

OPERATOR_TOPIC = "keyed.op"
"""Written by the operators, read-only for azurestep."""
CONFIGURATION_KEY = "config"
MEMBERS_TOPIC = "keyed.azurestep-nodes"
"""Records of all nodes by IP address, see ``members``."""
ROLLOUT_PREFIX = "rollout/"
"""Begin of the keys of roll-outs, followed by the service: orders in
``OPERATOR_TOPIC``, their statuses in ``STATUS_TOPIC``."""
STATUS_TOPIC = "keyed.status"
"""Written by azurestep for the operators."""
