"""Serialises requests forwarded to the node that owns their idempotency key."""

import hashlib

from multidict import CIMultiDict

from ..balancing import DeadlineBudget
from ..control.messages import PackedCall
from ..once.messages import Header
from . import headers
from .call import Call
from .table import RoutingTable

HASH_SIZE_BYTES = 16
EXCLUDED_HEADERS = frozenset({headers.IDEMPOTENCY_KEY.lower()})


def request_digest(call: Call) -> str:
    """Return a digest that distinguishes requests with the same key."""
    digest = hashlib.blake2b(digest_size=HASH_SIZE_BYTES)
    digest.update(f"{call.method} {call.target}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()


def pack_call(call: Call, key: str) -> PackedCall:
    """Return a call in the form sent between nodes."""
    fields = [
        Header(name, value)
        for name, value in call.fields.items()
        if name.lower() not in EXCLUDED_HEADERS
    ]
    fields.append(Header(headers.IDEMPOTENCY_KEY, key))
    host = call.fields.get("Host", "").partition(":")[0]
    return PackedCall(call.method, call.target, host, fields, call.body)


def unpack_call(
    packed: PackedCall,
    table: RoutingTable,
    remaining_ms: float,
    now_ms: float,
) -> Call | None:
    """Return the call, matched by the owner's routing table.

    Returns
    -------
    Call or None
        None if the owner's table has no route for the request.
    """
    fields = CIMultiDict((field.name, field.value) for field in packed.fields)
    path = packed.target.partition("?")[0]
    match = table.match(packed.host, path, packed.method, fields)
    if match is None:
        return None
    depth = fields.get(headers.DEPTH, "")
    return Call(
        packed.method,
        packed.target,
        fields,
        table,
        match,
        DeadlineBudget(remaining_ms, int(depth) if depth.isdigit() else 0),
        now_ms,
        packed.body,
    )
