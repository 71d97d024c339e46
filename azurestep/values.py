"""Comparison of attrs classes by value without compiling methods for each class."""

from typing import Any

import attrs


class Value:
    """Base of attrs classes that are compared, hashed and shown by their fields.

    attrs compiles these methods when a class is defined, which takes more than half of
    a class's 1 ms; a node that starts defines about 200. A class that inherits them
    is declared with ``eq=False, repr=False``. Compiled comparison is several times
    faster, so a class that is compared for each request or message keeps it, with
    ``repr=False`` alone.

    Examples
    --------
    >>> @attrs.frozen(eq=False, repr=False)
    ... class Point(Value):
    ...     x: int
    ...     y: int = 0
    >>> Point(1)
    Point(x=1, y=0)
    >>> Point(1) == Point(1, 0), Point(1) == Point(2), len({Point(1), Point(1)})
    (True, False, 1)
    """

    __slots__ = ()

    def __repr__(self) -> str:
        shown = ", ".join(
            f"{field.name}={getattr(self, field.name)!r}"
            for field in _fields(self)
            if field.repr
        )
        return f"{type(self).__qualname__.rsplit('>.', 1)[-1]}({shown})"

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return _content(self) == _content(other)

    def __hash__(self) -> int:
        return hash((type(self), _content(self)))


def _content(value: Value) -> tuple[Any, ...]:
    return tuple(getattr(value, field.name) for field in _fields(value) if field.eq)


def _fields(value: Any) -> tuple[Any, ...]:
    fields: tuple[Any, ...] = attrs.fields(type(value))
    return fields
