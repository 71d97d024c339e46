"""What is decided under load: placement, admission, shedding, retries, health. Pure."""
