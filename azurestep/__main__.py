"""Entry point of the ``azurestep`` command."""

import sys

from . import signals


def main() -> int:
    """Run the command and return its exit status."""
    words = (word for word in sys.argv[1:] if not word.startswith("-"))
    command = next(words, "")
    # Before the other imports, which take most of the start.
    signals.take_over(command)
    try:
        from .core import main as run

        return run()
    finally:
        signals.ignore(command)


if __name__ == "__main__":
    sys.exit(main())
