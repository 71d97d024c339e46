"""Options of the commands, as the command line gives them."""

import pathlib

import attrs


@attrs.frozen
class NodeOptions:
    """Options of ``azurestep node``."""

    settings: pathlib.Path


Options = NodeOptions
