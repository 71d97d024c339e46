"""Programs for the maintainers; they are not shipped."""
