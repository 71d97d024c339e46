"""Received bytes turned into typed messages, before anything is handled.

What comes out has the types that its class names, so that an error raised in handling
it is one of this program and never one of the other node.
"""

import typing
from collections.abc import Callable, Iterable
from typing import Annotated, Any

import attrs
import msgpack
import msgspec

from ..backend.crashes import decode_updates
from ..link_messages import (
    AnswerData,
    Body,
    Cancel,
    ConfigurationQuery,
    ConfigurationUpdate,
    CrashReport,
    Credit,
    Ping,
    Pong,
    Proceed,
    SlotReady,
    Withdraw,
)
from ..messages import (
    BUFFER_BYTES,
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
)

READ_BYTES = 8192
"""First size of a link's buffer. The library's own choice of 1 MiB for each link
made the peak memory of a node with 24 links 39 MB."""
ITEMS_MOST = 1_000_000
"""Most items of an array. Room for them is taken as soon as their number is read: at
the library's limit, five bytes take 800 MB."""
WHOLE_LINK = 0
"""Number that stands for the request in messages that concern none."""
BUILT_IN = (bytes,)
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
    | Refusal
    | Failure
    | ConfigurationQuery
    | ConfigurationUpdate
    | CrashReport
)
Number = Annotated[int, msgspec.Meta(ge=1)]


@attrs.frozen(slots=True)
class Shape:
    """What messages of one kind look like.

    Attributes
    ----------
    typed : Callable
        Checks kind, number, if it has one, and fields, and returns them as a row.
    make : Callable
        Returns the message with the fields behind kind and number.
    of_request : bool
        Whether it concerns one request, whose number comes second.
    """

    typed: Callable[[tuple[Any, ...]], Any]
    make: Callable[..., Message]
    of_request: bool


Shapes = dict[int, Shape]


def _shape(
    of: type,
    make: Callable[..., Message] | None = None,
    of_request: bool = True,
    **changed: Any,
) -> Shape:
    """Return the shape of a class's messages; fields with defaults may be missing."""
    columns: list[Any] = [("kind_", int)]
    if of_request:
        columns.append(("number_", Number))
    for field in attrs.fields(attrs.resolve_types(of)):
        column = (field.name, changed.get(field.name, field.type))
        has_default = field.default is not attrs.NOTHING
        columns.append((*column, field.default) if has_default else column)
    row = msgspec.defstruct(
        of.__name__, columns, array_like=True, forbid_unknown_fields=of is not Hello
    )
    return Shape(_checker(row), make or of, of_request)


def _checker(row: type) -> Callable[[tuple[Any, ...]], Any]:
    """Return what checks a row; text counts as bytes only if told so, which costs."""
    convert = msgspec.convert
    if "bytes" in repr(typing.get_type_hints(row)):
        return lambda fields: convert(fields, row, builtin_types=BUILT_IN)
    return lambda fields: convert(fields, row)


def _hello(*fields: Any) -> Hello:
    hello = Hello(*fields)
    if hello.format != PROTOCOL_VERSION:
        raise ValueError(f"protocol format {hello.format}")
    return hello


def _configuration(version: int, data: bytes) -> ConfigurationUpdate:
    return ConfigurationUpdate(version, decompress(data))


def _crashes(service: str, rows: Iterable[Any]) -> CrashReport:
    return CrashReport(service, decode_updates(rows))


_HELLO = _shape(Hello, _hello, of_request=False)
_CREDIT = _shape(Credit)
_CRASH_ROWS = tuple[tuple[int, tuple[tuple[str, int, int], ...], float], ...]

OF_CALLING_NODES: Shapes = {
    Kind.HELLO: _HELLO,
    Kind.PING: _shape(Ping, of_request=False),
    Kind.REQUEST: _shape(Request),
    Kind.BODY: _shape(Body),
    Kind.CANCEL: _shape(Cancel),
    Kind.WITHDRAW: _shape(Withdraw),
    Kind.PROCEED: _shape(Proceed),
    Kind.CREDIT: _CREDIT,
    Kind.CONFIGURATION_QUERY: _shape(ConfigurationQuery, of_request=False),
}
"""What the node that opened a link sends."""
OF_CALLED_NODES: Shapes = {
    Kind.HELLO: _HELLO,
    Kind.STATE: _shape(State, of_request=False),
    Kind.PONG: _shape(Pong, of_request=False),
    Kind.SLOT_READY: _shape(SlotReady),
    Kind.CREDIT: _CREDIT,
    Kind.ANSWER: _shape(Answer),
    Kind.ANSWER_DATA: _shape(AnswerData),
    Kind.REFUSAL: _shape(Refusal, reason=Reason),
    Kind.FAILURE: _shape(Failure, reason=Reason),
    Kind.CONFIGURATION: _shape(ConfigurationUpdate, _configuration, of_request=False),
    Kind.CRASHES: _shape(CrashReport, _crashes, of_request=False, updates=_CRASH_ROWS),
}
"""What the node that a link leads to sends."""


class Decoder:
    """Turns received bytes into typed messages.

    Parameters
    ----------
    shapes : dict
        What the other end may send; other kinds are those of a newer program and are
        passed by.

    Attributes
    ----------
    fault : str
        Why nothing more can be read; empty while all is well.

    Examples
    --------
    >>> from azurestep.mesh.messages import encode
    >>> decoder = Decoder(OF_CALLING_NODES)
    >>> decoder.feed(encode(Kind.CREDIT, 7, 500))
    [(7, Credit(size=500))]
    >>> decoder.feed(encode(Kind.CREDIT, 7, "many")), decoder.fault
    ([], 'Expected `int`, got `str` - at `$[2]`')
    """

    def __init__(self, shapes: Shapes) -> None:
        self.fault = ""
        self._shapes = shapes
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=False,
            read_size=READ_BYTES,
            max_buffer_size=BUFFER_BYTES,
            max_array_len=ITEMS_MOST,
        )

    def feed(self, data: bytes) -> list[tuple[int, Message]]:
        """Return the messages complete with these bytes, each behind its number.

        Those before one that can't be read are returned too.
        """
        found: list[tuple[int, Message]] = []
        if self.fault:
            return found
        try:
            self._unpacker.feed(data)
            for row in self._unpacker:
                if type(row) is not tuple or not row or type(row[0]) is not int:
                    raise ValueError("it does not begin with its kind")
                shape = self._shapes.get(row[0])
                if shape is None:
                    continue
                fields = as_tuple(shape.typed(row))
                if shape.of_request:
                    found.append((fields[1], shape.make(*fields[2:])))
                else:
                    found.append((WHOLE_LINK, shape.make(*fields[1:])))
        except (ValueError, msgpack.UnpackException) as error:
            self.fault = str(error) or repr(error)
        return found
