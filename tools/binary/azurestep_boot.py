"""Start of the program inside the binary.

Modules in C can't be imported from an archive. They are copied to anonymous
memory files and loaded from there.
"""

import os
import sys
from collections.abc import Sequence
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType
from zipimport import zipimporter

from azurestep_index import EXTENSIONS


class MemoryFinder:
    """Finds the extension modules of the archive.

    The descriptors stay open, since the loader of the C library takes a path that
    it knows for the library that it loaded before.
    """

    def __init__(self, archive: str) -> None:
        self._importer = zipimporter(archive)
        self._archive = archive

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of an extension module, or None for other modules."""
        entry = EXTENSIONS.get(name)
        if entry is None:
            return None
        data = self._importer.get_data(os.path.join(self._archive, entry))
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as stream:
            stream.write(data)
        place = f"/proc/self/fd/{descriptor}"
        loader = ExtensionFileLoader(name, place)
        return spec_from_file_location(name, place, loader=loader)


def main() -> None:
    """Run the command and end the process with its status."""
    sys.meta_path.insert(0, MemoryFinder(sys.path[0]))
    from azurestep.__main__ import main as run

    status = int(run())
    sys.stdout.flush()
    sys.exit(status)
