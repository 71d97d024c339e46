"""Notices changes of the settings file."""

import pathlib

import attrs


@attrs.define(eq=False, repr=False)
class SettingsFile:
    """Compares the settings file with the content that the node has read."""

    path: pathlib.Path
    _read: bytes | None = None

    def remember(self) -> None:
        """Remember the content that is about to be parsed.

        What is written in between counts as a change, as the memory is older.
        """
        content = self._content()
        if content is not None:
            self._read = content

    def has_changed(self) -> bool:
        """Whether the file holds other content than was remembered last, if any."""
        content = self._content()
        return content is not None and content != self._read

    def _content(self) -> bytes | None:
        try:
            return self.path.read_bytes()
        except OSError:
            return None
