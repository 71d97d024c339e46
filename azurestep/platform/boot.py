"""How the platform starts a node."""

SETTINGS_VARIABLE = "AZURESTEP_BOOT"
"""Variable of the environment that holds the path of the settings file."""
