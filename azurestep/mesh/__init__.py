"""The node: a proxy between callers and backend servers on the users' platform.

A *call* is a caller's attempt, as handled by the node that received it. A *run* is the
execution of a request at a backend server, as handled by the node beside that server.
"""
