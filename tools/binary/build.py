"""Builds dist/azurestep: a launcher, the interpreter and one archive in a file.

Usage:
  build [--output FILE]

Options:
  --output FILE  Where to write the binary [default: dist/azurestep].
"""

import importlib.metadata
import importlib.util
import marshal
import pathlib
import re
import shutil
import struct
import subprocess
import sys
import sysconfig
import tempfile
import zipfile
from collections.abc import Iterator

import attrs
import docopt

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parents[1]
STDLIB = pathlib.Path(sysconfig.get_path("stdlib"))
PACKAGE = "azurestep"
SKIPPED_DIRECTORIES = frozenset(
    {
        "__pycache__",
        "distutils",
        "ensurepip",
        "idlelib",
        "lib2to3",
        "pydoc_data",
        "site-packages",
        "test",
        "tests",
        "tkinter",
        "turtledemo",
        "venv",
    }
)
SKIPPED_EXTENSIONS = re.compile(
    r"_tkinter|_test|_ctypes_test|xx|readline|_curses|_dbm|_gdbm|nis|_sqlite3|"
    r"_crypt|ossaudiodev|_xx"
)
SYSTEM_LIBRARIES = re.compile(
    r"linux-vdso|ld-linux|libc\.so|libm\.so|libdl\.so|libpthread\.so|librt\.so|"
    r"libutil\.so|libgcc_s|libstdc\+\+|libpython"
)
KEPT_DATA = ("METADATA", "entry_points.txt", "RECORD")
UNCHECKED_HASH = struct.pack("<I", 0b01)
"""Flags of a compiled module that is never compared with its source (PEP 552)."""


@attrs.define
class Contents:
    """What goes into the binary.

    Attributes
    ----------
    modules : dict
        Python files by their name in the archive.
    extensions : dict
        Extension modules by their name in the archive.
    data : dict
        Other files by their name in the archive.
    libraries : dict
        Shared libraries by the name that others ask for them.
    """

    modules: dict[str, pathlib.Path] = attrs.field(factory=dict)
    extensions: dict[str, pathlib.Path] = attrs.field(factory=dict)
    data: dict[str, pathlib.Path] = attrs.field(factory=dict)
    libraries: dict[str, pathlib.Path] = attrs.field(factory=dict)

    def add(self, name: str, path: pathlib.Path) -> None:
        """Sort one file into its place."""
        if path.suffix == ".py":
            self.modules[name] = path
        elif ".libs/" in name and ".so" in path.name:
            self.libraries[path.name] = path
        elif path.suffix == ".so":
            self.extensions[name] = path
        elif path.name in KEPT_DATA and ".dist-info/" in name:
            self.data[name] = path


def runtime_distributions() -> Iterator[importlib.metadata.Distribution]:
    """Yield the distributions that the program needs, and those that they need."""
    pending = _project_dependencies()
    seen: set[str] = set()
    while pending:
        name = pending.pop()
        if name in seen:
            continue
        seen.add(name)
        found = importlib.metadata.distribution(name)
        yield found
        pending.extend(_requirements_of(found))


def _project_dependencies() -> list[str]:
    text = (ROOT / "pyproject.toml").read_text()
    match = re.search(r"^dependencies = \[(.*?)\]", text, re.S | re.M)
    assert match is not None
    return re.findall(r'"([A-Za-z0-9_.-]+)', match[1])


def _requirements_of(found: importlib.metadata.Distribution) -> list[str]:
    names = []
    for line in found.requires or []:
        requirement, _, marker = line.partition(";")
        match = re.match(r"[A-Za-z0-9_.-]+", requirement)
        if match and "extra ==" not in marker and _is_installed(match[0]):
            names.append(match[0])
    return names


def _is_installed(name: str) -> bool:
    try:
        importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        return False
    return True


def collect() -> Contents:
    """Return everything that the binary holds."""
    contents = Contents()
    for path in sorted(STDLIB.rglob("*.py")):
        name = path.relative_to(STDLIB)
        if not SKIPPED_DIRECTORIES & set(name.parts[:-1]):
            contents.add(str(name), path)
    for path in sorted((STDLIB / "lib-dynload").glob("*.so")):
        if not SKIPPED_EXTENSIONS.match(path.name):
            contents.add(path.name, path)
    for found in runtime_distributions():
        for file in found.files or []:
            if ".." not in file.parts and "tests" not in file.parts:
                contents.add(str(file), pathlib.Path(str(found.locate_file(file))))
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        contents.add(str(path.relative_to(ROOT)), path)
    contents.add("azurestep_boot.py", HERE / "azurestep_boot.py")
    for path in [*contents.extensions.values(), _interpreter()]:
        _add_libraries(contents, path)
    return contents


def _interpreter() -> pathlib.Path:
    directory = pathlib.Path(sysconfig.get_config_var("LIBDIR"))
    return (directory / sysconfig.get_config_var("LDLIBRARY")).resolve()


def _add_libraries(contents: Contents, path: pathlib.Path) -> None:
    for name, place in _needed(path):
        if not SYSTEM_LIBRARIES.match(name):
            contents.libraries.setdefault(name, place)


def _needed(path: pathlib.Path) -> list[tuple[str, pathlib.Path]]:
    """Return what a library needs, directly or not: names and places."""
    output = subprocess.run(
        ["ldd", str(path)], capture_output=True, text=True, check=True
    ).stdout
    found = re.findall(r"^\s*(\S+) => (/\S+)", output, re.M)
    return [(name, pathlib.Path(place)) for name, place in found]


def in_load_order(libraries: dict[str, pathlib.Path]) -> list[pathlib.Path]:
    """Return libraries so that each comes after those that it needs."""
    needs = {
        name: {n for n, _ in _needed(path) if n in libraries and n != name}
        for name, path in libraries.items()
    }
    ordered: list[str] = []
    while len(ordered) < len(libraries):
        ready = [n for n in needs if n not in ordered and needs[n] <= set(ordered)]
        if not ready:
            raise ValueError("libraries need each other in a circle")
        ordered.extend(sorted(ready))
    return [libraries[name] for name in ordered]


def extension_index(contents: Contents) -> str:
    """Return the module that maps names of extension modules to their files."""
    index = {
        name.partition(".")[0].replace("/", "."): name for name in contents.extensions
    }
    return f'"""Written by the build."""\n\nEXTENSIONS = {index!r}\n'


def write_binary(contents: Contents, output: pathlib.Path) -> None:
    """Write the launcher, the libraries, the archive and the table."""
    with tempfile.TemporaryDirectory() as name:
        scratch = pathlib.Path(name)
        launcher = scratch / "launcher"
        source = str(HERE / "launcher.c")
        subprocess.run(
            ["cc", "-O2", "-Wall", "-o", str(launcher), source, "-ldl"], check=True
        )
        table = b""
        libraries = [*in_load_order(contents.libraries), _interpreter()]
        output.parent.mkdir(parents=True, exist_ok=True)
        with output.open("wb") as stream:
            stream.write(launcher.read_bytes())
            for library in libraries:
                body = _stripped(library, scratch)
                table += struct.pack("<QQ", stream.tell(), len(body))
                stream.write(body)
        comment = table + struct.pack("<I", len(libraries))
        _append_archive(contents, output, comment, scratch)
    output.chmod(0o755)


def _stripped(path: pathlib.Path, scratch: pathlib.Path) -> bytes:
    copy = scratch / "library"
    shutil.copyfile(path, copy)
    subprocess.run(["strip", "--strip-unneeded", str(copy)], check=False)
    return copy.read_bytes()


def _append_archive(
    contents: Contents, output: pathlib.Path, comment: bytes, scratch: pathlib.Path
) -> None:
    index = scratch / "azurestep_index.py"
    index.write_text(extension_index(contents))
    modules = {**contents.modules, index.name: index}
    with zipfile.ZipFile(output, "a", zipfile.ZIP_STORED) as archive:
        for name, path in modules.items():
            compiled = compile_module(name, path)
            if compiled is not None:
                archive.writestr(name + "c", compiled)
        for name, path in contents.extensions.items():
            archive.writestr(name, _stripped(path, scratch))
        for name, path in contents.data.items():
            archive.write(path, name)
        archive.comment = comment


def compile_module(name: str, path: pathlib.Path) -> bytes | None:
    """Return the contents of a module's ``.pyc`` file; None if it can't be compiled.

    Compiled in memory: ``py_compile`` replaces a file for each module, and some file
    systems write the old one to the disk first.
    """
    source = path.read_bytes()
    try:
        code = compile(source, name, "exec", dont_inherit=True)
    except (SyntaxError, ValueError) as error:
        print(f"left out {name}: {error}")
        return None
    source_hash = importlib.util.source_hash(source)
    header = importlib.util.MAGIC_NUMBER + UNCHECKED_HASH + source_hash
    return header + marshal.dumps(code)


def main() -> None:
    """Build the binary from the command line."""
    options = docopt.docopt(__doc__ or "")
    output = pathlib.Path(options["--output"])
    write_binary(collect(), output)
    print(f"{output}: {output.stat().st_size} bytes", file=sys.stderr)


if __name__ == "__main__":
    main()
