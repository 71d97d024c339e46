"""Request path: routing, admission, forwarding and relaying.

The owner of an idempotency key is the node that executes the non-idempotent requests
with this key. The node that accepted such a request sends it to the owner, which runs
it with ``Proxy.run_non_idempotent``.
"""
