"""Start of a node by the platform."""

SETTINGS_VARIABLE = "AZURESTEP_BOOT"
"""Environment variable with the path of the settings file."""
