"""Encoding of messages between nodes: positional arrays in msgpack.

A message is ``[kind, sender, fields]``. Fields are positional: extra fields from a
newer version are ignored, missing trailing fields take their defaults.
"""

from enum import IntEnum
from typing import Any

import attrs
import cattrs
import msgpack

from ..errors import MessageMalformedError
from ..once.messages import (
    ForwardedRequest,
    OwnerAnswer,
    PeerMessage,
    TableReceipt,
    TableTransfer,
)
from .messages import (
    Ack,
    AppliedReport,
    AuditItems,
    AuditReceipt,
    Broadcast,
    IndirectAck,
    Message,
    OwnerMessage,
    Probe,
    ProbeRequest,
    Pull,
    PullReply,
    Push,
    RecordsPull,
    RecordsPush,
    RetryLater,
    Sender,
    SyncReply,
    SyncRequest,
)
from .updates import (
    DataCentreReport,
    MemberState,
    ServiceSummary,
    SuspectRequest,
    Update,
)

MAX_FRAME_BYTES = 8 * 1024 * 1024

MESSAGE_KINDS: dict[int, type] = {
    1: Probe,
    2: Ack,
    3: ProbeRequest,
    4: IndirectAck,
    5: Broadcast,
    6: SyncRequest,
    7: SyncReply,
    8: Push,
    9: Pull,
    10: PullReply,
    11: RetryLater,
    12: AppliedReport,
    13: RecordsPush,
    14: RecordsPull,
    15: OwnerMessage,
    20: AuditItems,
    21: AuditReceipt,
}
UPDATE_KINDS: dict[int, type] = {
    1: MemberState,
    2: ServiceSummary,
    3: DataCentreReport,
    4: SuspectRequest,
}
OWNER_KINDS: dict[int, type] = {
    1: ForwardedRequest,
    2: OwnerAnswer,
    3: TableTransfer,
    4: TableReceipt,
}


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
        detailed_validation=False,
        prefer_attrib_converters=False,
    )
    converter.register_unstructure_hook(bytes, lambda value: value)
    converter.register_structure_hook(bytes, _structure_bytes)
    converter.register_unstructure_hook(IntEnum, int)
    _register_union(converter, Update, UPDATE_KINDS)
    converter.register_structure_hook_func(
        lambda kind: kind == list[Update],
        lambda value, _type: _structure_updates(converter, value),
    )
    _register_union(converter, PeerMessage, OWNER_KINDS)
    return converter


def _structure_bytes(value: Any, _type: type) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("bytes expected")
    return value


def _structure_updates(converter: cattrs.Converter, value: Any) -> list[Update]:
    # Skip update kinds introduced by newer versions.
    return [
        converter.structure(fields, UPDATE_KINDS[number])
        for number, fields, *_ in value
        if number in UPDATE_KINDS
    ]


def _register_union(
    converter: cattrs.Converter, union: Any, kinds: dict[int, type]
) -> None:
    numbers = {kind: number for number, kind in kinds.items()}

    def unstructure(value: Any) -> list[Any]:
        return [numbers[type(value)], converter.unstructure(value)]

    def structure(value: Any, _type: Any) -> Any:
        number, fields = value
        return converter.structure(fields, kinds[number])

    converter.register_unstructure_hook(union, unstructure)
    converter.register_structure_hook(union, structure)


CONVERTER = _make_converter()
_NUMBERS = {kind: number for number, kind in MESSAGE_KINDS.items()}


@attrs.frozen
class Envelope:
    """Decoded message and its sender."""

    sender: Sender
    message: Message


def encode(sender: Sender, message: Message) -> bytes:
    """Encode a message as a frame."""
    kind = type(message)
    fields = CONVERTER.unstructure(message)
    frame: bytes = msgpack.packb(
        [_NUMBERS[kind], CONVERTER.unstructure(sender), fields]
    )
    return frame


def decode(frame: bytes) -> Envelope:
    """Decode a frame.

    Raises
    ------
    MessageMalformedError
        If the frame is too large or not a valid message.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise _malformed(f"{len(frame)} bytes exceed the frame limit")
    try:
        number, sender, fields = msgpack.unpackb(frame)
        return Envelope(
            CONVERTER.structure(sender, Sender),
            CONVERTER.structure(fields, MESSAGE_KINDS[number]),
        )
    except Exception as error:
        raise _malformed(repr(error)) from error


def _malformed(cause: str) -> MessageMalformedError:
    return MessageMalformedError(
        f"cannot decode a frame from a peer: {cause}",
        "Check that only nodes of this fleet can reach the control port",
    )
