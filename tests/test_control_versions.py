"""Nodes of adjacent program versions interoperate during a rolling upgrade."""

import msgpack
import pytest

from azurestep.config.fold import ConfigurationFold
from azurestep.control.codec import decode, encode
from azurestep.control.messages import Digest, Probe, Sender, SyncReply
from azurestep.control.updates import MemberState
from azurestep.errors import MessageMalformedError
from tests.fixtures_fold import initial_change, timeout_change

SENDER = Sender("n1", "kingston", 1, "127.0.0.1", 9000)
MEMBER = MemberState("n1", "kingston", "r", 1, 1, 0, "127.0.0.1", 9000, 9001)
UNKNOWN_KIND = 99


def decode_changed(message, change):
    number, sender, fields = msgpack.unpackb(encode(SENDER, message))
    change(fields)
    return decode(msgpack.packb([number, [*sender, "new"], fields])).message


def test_unknown_trailing_fields_are_ignored():
    probe = Probe(7, Digest(1, b"h"), 5, [MEMBER])

    assert decode_changed(probe, lambda fields: fields.append("new")) == probe


def test_unknown_update_is_skipped_and_the_others_are_kept():
    probe = Probe(7, Digest(1, b"h"), 5, [MEMBER])
    reply = SyncReply([MEMBER], [3])

    def add(fields):
        updates = next(field for field in fields if isinstance(field, list) and field)
        updates.insert(0, [UNKNOWN_KIND, ["new"]])

    def add_first(fields):
        fields[0].insert(0, [UNKNOWN_KIND, ["new"]])

    def add_last(fields):
        fields[-1].insert(0, [UNKNOWN_KIND, ["new"]])

    assert decode_changed(probe, add_last) == probe
    assert decode_changed(reply, add_first) == reply


def test_unknown_message_is_rejected_as_malformed():
    frame = msgpack.packb([UNKNOWN_KIND, ["n1", "k", 1, "127.0.0.1", 1], []])

    with pytest.raises(MessageMalformedError):
        decode(frame)


def test_unknown_configuration_field_does_not_change_the_hash(fake_log):
    older, newer = ConfigurationFold(), ConfigurationFold()
    fake_log.publish("first", 0, initial_change())
    fake_log.publish("next", 1, timeout_change(1100, weather="rain"))
    for fold in (older, newer):
        fake_log.feed(fold)

    assert older.state.version == 2
    assert older.state.document.hash == newer.state.document.hash
