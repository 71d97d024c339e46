"""Definition of the command line."""

USAGE = """Distribute configurations of a service mesh.

Usage:
  azurestep node SETTINGS [--debug]
  azurestep --version
  azurestep --help

Arguments:
  SETTINGS    Settings file of the node, in JSON.

Options:
  --debug     Show a traceback with an error.
  --version   Show the version.
  -h --help   Show this text.
"""
