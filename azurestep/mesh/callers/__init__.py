"""Requests of callers: match a route, choose a backend server, answer."""
