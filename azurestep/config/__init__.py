"""Configuration: model, validation, changes and log records."""
