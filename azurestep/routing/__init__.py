"""Routes of the configuration in force, and how requests are matched to them."""
