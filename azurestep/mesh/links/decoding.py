"""Decoding of received bytes into validated messages.

A decoded message has the types that its class declares, so that an error in handling
it is always a bug of this program and not a peer's fault.
"""

import math
from collections.abc import Callable, Iterable
from typing import Annotated, Any

import attrs
import msgpack
import msgspec

from ...values import Value
from ..backend.crashes import decode_updates
from ..decisions.rollout import Phase
from ..link_messages import (
    AnswerData,
    AnswerPart,
    Body,
    BodyBacklog,
    CalledRoutes,
    Cancel,
    ConfigurationDelta,
    ConfigurationQuery,
    ConfigurationUpdate,
    CrashReport,
    Credit,
    Ping,
    Pong,
    Proceed,
    QuotaGrant,
    QuotaHandover,
    QuotaUsage,
    RolloutUpdate,
    ServerCondition,
    ServerSpeed,
    ServerVersion,
    SlotReady,
    StoreContact,
    StoreEraUpdate,
    TrialCounts,
    VersionNotice,
    Withdraw,
)
from ..messages import (
    PROTOCOL_VERSION,
    Answer,
    Failure,
    Hello,
    Kind,
    Reason,
    Refusal,
    Request,
    State,
    decompress,
    encode,
)
from .unpacking import RowReader

PONG = encode(Kind.PONG)
NO_STREAM = 0
"""Stream id of messages that concern no single request."""
UNCONVERTED_TYPES = (bytes,)
as_tuple = msgspec.structs.astuple

Message = (
    Hello
    | State
    | Ping
    | Pong
    | Request
    | Body
    | Cancel
    | Withdraw
    | Proceed
    | SlotReady
    | Credit
    | Answer
    | AnswerData
    | AnswerPart
    | Refusal
    | Failure
    | ConfigurationQuery
    | ConfigurationUpdate
    | ConfigurationDelta
    | VersionNotice
    | CrashReport
    | ServerCondition
    | StoreEraUpdate
    | StoreContact
    | ServerVersion
    | RolloutUpdate
    | TrialCounts
    | BodyBacklog
    | CalledRoutes
    | QuotaUsage
    | QuotaGrant
    | QuotaHandover
    | ServerSpeed
)
StreamId = Annotated[int, msgspec.Meta(ge=1)]


@attrs.frozen(slots=True, eq=False, repr=False)
class MessageSchema(Value):
    """How messages of one kind are validated and built.

    Attributes
    ----------
    validate : Callable
        Validates a row of kind, stream id (if the kind has one) and fields.
    build : Callable
        Returns the message for its fields.
    has_stream_id : bool
        Whether the message concerns one request, whose stream id comes second.
    """

    validate: Callable[[tuple[Any, ...]], Any]
    build: Callable[..., Message]
    has_stream_id: bool


MessageSchemas = dict[int, MessageSchema]


def _schema(
    message_class: type,
    build: Callable[..., Message] | None = None,
    has_stream_id: bool = True,
    **overrides: Any,
) -> MessageSchema:
    """Return the schema of a class's messages.

    Fields with defaults may be missing; unknown ones at the end are skipped, since the
    sender may run a later version of the program.
    """
    columns: list[Any] = [("kind_", int)]
    if has_stream_id:
        columns.append(("number_", StreamId))
    for field in attrs.fields(attrs.resolve_types(message_class)):
        column = (field.name, overrides.get(field.name, field.type))
        has_default = field.default is not attrs.NOTHING
        columns.append((*column, field.default) if has_default else column)
    row = msgspec.defstruct(
        message_class.__name__,
        columns,
        array_like=True,
    )
    has_bytes = any("bytes" in repr(column[1]) for column in columns)
    validate = _make_validator(row, has_bytes)
    return MessageSchema(validate, build or message_class, has_stream_id)


def _make_validator(row: type, has_bytes: bool) -> Callable[[tuple[Any, ...]], Any]:
    """Return the validator of a row; only rows with bytes need a slower one."""
    convert = msgspec.convert
    if has_bytes:
        return lambda fields: convert(fields, row, builtin_types=UNCONVERTED_TYPES)
    return lambda fields: convert(fields, row)


def _build_hello(*fields: Any) -> Hello:
    hello = Hello(*fields)
    if hello.protocol_version != PROTOCOL_VERSION:
        raise ValueError(f"unsupported protocol format {hello.protocol_version}")
    return hello


def _build_configuration(version: int, data: bytes) -> ConfigurationUpdate:
    return ConfigurationUpdate(version, decompress(data))


def _build_condition(*fields: Any) -> ServerCondition:
    condition = ServerCondition(*fields)
    rate_per_s = condition.rate_limit_per_s
    if math.isnan(rate_per_s) or rate_per_s < 0:
        raise ValueError(f"{rate_per_s} is not a rate limit")
    return condition


def _build_rollout(*fields: Any) -> RolloutUpdate:
    update = RolloutUpdate(*fields)
    if update.phase not in set(Phase):
        raise ValueError(f"{update.phase} is not a phase of a roll-out")
    if not (math.isfinite(update.duration_ms) and math.isfinite(update.remaining_ms)):
        raise ValueError("the duration of a roll-out is not finite")
    return update


def _build_backlog(wait_ms: float, ms_per_kib: float) -> BodyBacklog:
    if not (0 <= wait_ms < math.inf and 0 <= ms_per_kib < math.inf):
        raise ValueError("the backlog is not a time")
    return BodyBacklog(wait_ms, ms_per_kib)


def _build_grant(rows: tuple[tuple[str, float, float], ...]) -> QuotaGrant:
    if not all(0 <= value < math.inf for _, *values in rows for value in values):
        raise ValueError("a grant is not a rate and a time")
    return QuotaGrant(rows)


def _build_handover(
    former: tuple[str, int],
    rows: tuple[tuple[str, float], ...],
    stops: bool,
    forwarded: int,
) -> QuotaHandover:
    if not all(math.isfinite(tokens) for _, tokens in rows):
        raise ValueError("the tokens of an account are not finite")
    return QuotaHandover(former, rows, stops, forwarded)


def _build_speed(work_ratio: float, age_ms: float) -> ServerSpeed:
    if not (0 < work_ratio < math.inf and 0 <= age_ms < math.inf):
        raise ValueError("the speed of a backend server is no ratio with an age")
    return ServerSpeed(work_ratio, age_ms)


def _build_crashes(service: str, rows: Iterable[Any]) -> CrashReport:
    return CrashReport(service, decode_updates(rows))


_HELLO = _schema(Hello, _build_hello, has_stream_id=False)
_CREDIT = _schema(Credit)
_CONDITION = _schema(ServerCondition, _build_condition, has_stream_id=False)
_CRASH_ROWS = tuple[tuple[int, tuple[tuple[str, int, int], ...], float], ...]

INCOMING_LINK_SCHEMAS: MessageSchemas = {
    Kind.HELLO: _HELLO,
    Kind.PING: _schema(Ping, has_stream_id=False),
    Kind.REQUEST: _schema(Request),
    Kind.BODY: _schema(Body),
    Kind.CANCEL: _schema(Cancel),
    Kind.WITHDRAW: _schema(Withdraw),
    Kind.PROCEED: _schema(Proceed),
    Kind.CREDIT: _CREDIT,
    Kind.CONFIGURATION_QUERY: _schema(ConfigurationQuery, has_stream_id=False),
    Kind.SERVER_CONDITION: _CONDITION,
    Kind.QUOTA_USAGE: _schema(QuotaUsage, has_stream_id=False),
    Kind.QUOTA_HANDOVER: _schema(QuotaHandover, _build_handover, has_stream_id=False),
}
"""Kinds of messages that the node that opened a link may send."""
PEER_CONNECTION_SCHEMAS: MessageSchemas = {
    Kind.HELLO: _HELLO,
    Kind.STATE: _schema(State, has_stream_id=False),
    Kind.PONG: _schema(Pong, has_stream_id=False),
    Kind.SLOT_READY: _schema(SlotReady),
    Kind.CREDIT: _CREDIT,
    Kind.ANSWER: _schema(Answer),
    Kind.ANSWER_DATA: _schema(AnswerData),
    Kind.ANSWER_PART: _schema(AnswerPart),
    Kind.REFUSAL: _schema(Refusal, reason=Reason),
    Kind.FAILURE: _schema(Failure, reason=Reason),
    Kind.CONFIGURATION: _schema(
        ConfigurationUpdate, _build_configuration, has_stream_id=False
    ),
    Kind.CONFIGURATION_DELTA: _schema(ConfigurationDelta, has_stream_id=False),
    Kind.VERSION_NOTICE: _schema(VersionNotice, has_stream_id=False),
    Kind.CRASHES: _schema(
        CrashReport, _build_crashes, has_stream_id=False, updates=_CRASH_ROWS
    ),
    Kind.SERVER_CONDITION: _CONDITION,
    Kind.STORE_ERA: _schema(StoreEraUpdate, has_stream_id=False),
    Kind.STORE_CONTACT: _schema(StoreContact, has_stream_id=False),
    Kind.SERVER_VERSION: _schema(ServerVersion, has_stream_id=False),
    Kind.ROLLOUT: _schema(RolloutUpdate, _build_rollout, has_stream_id=False),
    Kind.TRIAL_COUNTS: _schema(TrialCounts, has_stream_id=False),
    Kind.CALLED_ROUTES: _schema(CalledRoutes, has_stream_id=False),
    Kind.BODY_BACKLOG: _schema(BodyBacklog, _build_backlog, has_stream_id=False),
    Kind.QUOTA_GRANT: _schema(QuotaGrant, _build_grant, has_stream_id=False),
    Kind.SERVER_SPEED: _schema(ServerSpeed, _build_speed, has_stream_id=False),
}
"""Kinds of messages that the node that accepted a link may send."""


class Decoder:
    """Decodes received bytes into validated messages.

    Parameters
    ----------
    schemas : dict
        Kinds of messages that the peer may send. Other kinds are skipped, as they may
        belong to a newer version.

    Attributes
    ----------
    fault : str
        Why decoding has stopped; empty while there was no error.

    Examples
    --------
    >>> from azurestep.mesh.messages import encode
    >>> decoder = Decoder(INCOMING_LINK_SCHEMAS)
    >>> decoder.feed(encode(Kind.CREDIT, 7, 500))
    [(7, Credit(size=500))]
    >>> decoder.feed(encode(Kind.CREDIT, 7, "many")), decoder.fault
    ([], 'Expected `int`, got `str` - at `$[2]`')
    """

    def __init__(self, schemas: MessageSchemas) -> None:
        self.fault = ""
        self._schemas = schemas
        self._rows = RowReader()

    def feed(self, data: bytes) -> list[tuple[int, Message]]:
        """Return the messages that these bytes complete, with their stream ids.

        Messages before a malformed one are returned too.
        """
        messages: list[tuple[int, Message]] = []
        if self.fault:
            return messages
        if (
            data == PONG
            and not self._rows.holds_unpacker
            and Kind.PONG in self._schemas
        ):
            return [(NO_STREAM, Pong())]  # a large part of all messages
        try:
            for row in self._rows.feed(data):
                if type(row) is not tuple or not row or type(row[0]) is not int:
                    raise ValueError("the message does not begin with its kind")
                schema = self._schemas.get(row[0])
                if schema is None:
                    continue
                fields = as_tuple(schema.validate(row))
                if schema.has_stream_id:
                    messages.append((fields[1], schema.build(*fields[2:])))
                else:
                    messages.append((NO_STREAM, schema.build(*fields[1:])))
        except (ValueError, msgpack.UnpackException) as error:
            self.fault = str(error) or repr(error)
            self.close()
        return messages

    def close(self) -> None:
        """Drop the bytes of an incomplete message."""
        self._rows.close()
