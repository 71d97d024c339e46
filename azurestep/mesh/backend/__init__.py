"""The local backend server: admission, runs, state and health."""
