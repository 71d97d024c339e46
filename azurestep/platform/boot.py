"""Environment variable that the platform sets for a node."""

SETTINGS_VARIABLE = "AZURESTEP_BOOT"
"""Environment variable with the path of the settings file."""
