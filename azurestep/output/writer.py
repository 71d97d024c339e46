"""Writes the result of a command in the form that was asked for."""

from enum import Enum
from typing import Any

import cattrs
import orjson

from ..environment import Environment
from . import audit, mesh  # noqa: F401  (they register their texts)
from .render import render

CONVERTER = cattrs.Converter()
CONVERTER.register_unstructure_hook(bytes, lambda value: value.hex())
CONVERTER.register_unstructure_hook(Enum, lambda value: value.value)


def write_result(result: Any, as_json: bool, environment: Environment) -> None:
    """Write a result to the standard output.

    Parameters
    ----------
    result : attrs instance
        What the command found or did.
    as_json : bool
        Whether to write one JSON object instead of text.
    """
    if as_json:
        plain = CONVERTER.unstructure(result)
        text = orjson.dumps(plain, option=orjson.OPT_INDENT_2).decode()
    else:
        text = render(result)
    print(text, file=environment.stdout)
