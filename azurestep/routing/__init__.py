"""Routes of the configuration and matching of requests to them."""
