"""Progress of a long command, for a person at a terminal."""

import attrs

from ..environment import Environment

ERASE_LINE = "\r\x1b[K"


@attrs.define
class Progress:
    """One line on the error stream that is rewritten in place.

    It writes nothing unless the error stream is a terminal.
    """

    environment: Environment
    _shown: str = ""

    def show(self, text: str) -> None:
        """Replace the line."""
        stream = self.environment.stderr
        if text == self._shown or not stream.isatty():
            return
        self._shown = text
        stream.write(f"{ERASE_LINE}{text}")
        stream.flush()

    def clear(self) -> None:
        """Remove the line."""
        if self._shown:
            self.environment.stderr.write(ERASE_LINE)
            self.environment.stderr.flush()
        self._shown = ""
