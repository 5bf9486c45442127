"""Builds the executable ``dist/snipetrestle``: interpreter, libraries and program.

The first argument, if given, is the output folder instead of ``dist``.

The launcher is linked with the static interpreter library; a zip archive of compiled
modules and extension modules follows it. The archive is not compressed, since the
decompressor is itself an extension module.
"""

import importlib.metadata
import importlib.util
import marshal
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Parts of the standard library that the program does not use.
UNUSED_STDLIB = frozenset(
    [
        "test",
        "idlelib",
        "lib2to3",
        "tkinter",
        "turtledemo",
        "ensurepip",
        "venv",
        "distutils",
        "site-packages",
        "lib-dynload",
        "config-3.11-x86_64-linux-gnu",
        "__pycache__",
        "pydoc_data",
    ]
)
# Extension modules of the standard library that the program does not use. _posixshmem
# is shared memory, which it must not use.
UNUSED_EXTENSIONS = frozenset(
    [
        "_testcapi",
        "_testbuffer",
        "_testinternalcapi",
        "_testclinic",
        "_testmultiphase",
        "_testimportmultiple",
        "_xxtestfuzz",
        "xxlimited",
        "xxlimited_35",
        "_ctypes_test",
        "_tkinter",
        "_curses",
        "_curses_panel",
        "readline",
        "_sqlite3",
        "_posixshmem",
        "ossaudiodev",
        "nis",
        "_crypt",
    ]
)
# Shared libraries of glibc, which the host provides.
C_LIBRARY_NAMES = frozenset(
    [
        "libc.so.6",
        "libm.so.6",
        "libpthread.so.0",
        "librt.so.1",
        "libdl.so.2",
        "libutil.so.1",
        "ld-linux-x86-64.so.2",
        "linux-vdso.so.1",
    ]
)
DATA_SUFFIXES = frozenset((".yaml", ".txt", ".pem", ".json", ""))
ENTRY_TIMESTAMP = (2026, 1, 1, 0, 0, 0)


class Archive:
    """Zip archive of modules, extension modules, shared libraries and data files.

    ``extension_paths`` lists the paths from which extension modules were added.
    """

    def __init__(self, path):
        self._zip = zipfile.ZipFile(path, "w", zipfile.ZIP_STORED)
        self._folders = set()
        self._extensions_by_name = {}
        self.extension_paths = []

    def add(self, name, data):
        """Adds an entry and, before it, the entries of its folders."""
        folder = ""
        for part in name.split("/")[:-1]:
            folder += part + "/"
            if folder not in self._folders:
                # The import system finds a namespace package by its folder's entry.
                self._folders.add(folder)
                self._zip.writestr(zipfile.ZipInfo(folder, ENTRY_TIMESTAMP), b"")
        self._zip.writestr(zipfile.ZipInfo(name, ENTRY_TIMESTAMP), data)

    def add_module(self, name, path):
        """Compiles a module and adds it; flags, time and size in its header are 0."""
        code = compile(path.read_bytes(), name, "exec", dont_inherit=True, optimize=0)
        header = importlib.util.MAGIC_NUMBER + bytes(12)
        self.add(name.removesuffix(".py") + ".pyc", header + marshal.dumps(code))

    def add_extension(self, name, path):
        """Adds an extension module under its dotted name."""
        parts = name.rpartition("/")
        stem = parts[2].partition(".")[0]
        dotted_name = (parts[0].replace("/", ".") + "." if parts[0] else "") + stem
        self.add(name, path.read_bytes())
        self._extensions_by_name[dotted_name] = name
        self.extension_paths.append(path)

    def add_tree(self, root, prefix, excluded=frozenset()):
        """Adds the files below ``root``, but no top-level name of ``excluded``."""
        for path in sorted(root.rglob("*")):
            relative = path.relative_to(root)
            if relative.parts[0] in excluded or "__pycache__" in relative.parts:
                continue
            if not path.is_file():
                continue
            name = (pathlib.PurePosixPath(prefix) / relative.as_posix()).as_posix()
            self.add_file(name, path)

    def add_file(self, name, path):
        """Adds a file by its type; files of other types are left out."""
        if path.suffix == ".py":
            self.add_module(name, path)
        elif path.suffix == ".so":
            self.add_extension(name, path)
        elif path.suffix in DATA_SUFFIXES:
            self.add(name, path.read_bytes())

    def close(self, libraries):
        """Adds the shared libraries (paths by name, in load order) and the indexes."""
        for name, path in libraries.items():
            self.add(f"lib/{name}", path.read_bytes())
        self.add("lib/order.txt", "\n".join(libraries).encode())
        lines = [f"{name} {entry}" for name, entry in self._extensions_by_name.items()]
        self.add("extensions.txt", "\n".join(lines).encode())
        self._zip.close()


def requirement_files(requirements):
    """Yields (name in the archive, path) of the files of all pinned requirements."""
    for line in requirements.read_text().splitlines():
        name, separator, _ = line.partition("==")
        if not separator:
            continue
        for entry in importlib.metadata.distribution(name).files:
            path = pathlib.Path(entry.locate())
            if ".." not in entry.parts and "__pycache__" not in entry.parts:
                yield entry.as_posix(), path


def shared_libraries(paths):
    """Returns the paths by name of the libraries that ``paths`` need, in load order."""
    paths_by_name = {}

    def visit(path):
        listing = subprocess.run(
            ["ldd", str(path)], check=True, capture_output=True, text=True
        ).stdout
        for line in listing.splitlines():
            name, _, rest = line.strip().partition(" => ")
            target = pathlib.Path(rest.partition(" (")[0])
            if (
                name in C_LIBRARY_NAMES
                or name in paths_by_name
                or not target.is_absolute()
            ):
                continue
            visit(target)
            paths_by_name[name] = target

    for path in paths:
        visit(path)
    return paths_by_name


def build_launcher(path):
    """Compiles the launcher against the static interpreter library."""
    config_vars = sysconfig.get_config_vars()
    library = (
        pathlib.Path(config_vars["LIBPL"]) / f"libpython{config_vars['LDVERSION']}.a"
    )
    if not library.exists():
        sys.exit(f"{library} is missing: install Python's static library")
    subprocess.run(
        [
            "cc",
            "-O2",
            "-o",
            str(path),
            str(ROOT / "binary" / "launcher.c"),
            f"-I{config_vars['INCLUDEPY']}",
            "-Wl,--whole-archive",
            str(library),
            "-Wl,--no-whole-archive",
            "-Wl,--export-dynamic",
            "-ldl",
            "-lm",
            "-lpthread",
            "-lutil",
        ],
        check=True,
    )


def main(folder):
    """Writes the executable to ``folder``: the launcher, followed by the archive."""
    folder.mkdir(exist_ok=True)
    launcher, archive_path = folder / "launcher", folder / "archive.zip"
    build_launcher(launcher)
    archive = Archive(archive_path)
    archive.add_module("bootstrap.py", ROOT / "binary" / "bootstrap.py")
    stdlib = pathlib.Path(sysconfig.get_path("stdlib"))
    archive.add_tree(stdlib, "", UNUSED_STDLIB)
    for path in sorted((stdlib / "lib-dynload").glob("*.so")):
        if path.name.partition(".")[0] not in UNUSED_EXTENSIONS:
            archive.add_extension(path.name, path)
    for name, path in requirement_files(ROOT / "requirements" / "run.txt"):
        archive.add_file(name, path)
    archive.add_tree(ROOT / "snipetrestle", "snipetrestle")
    archive.close(shared_libraries(archive.extension_paths))
    target = folder / "snipetrestle"
    with target.open("wb") as output:
        for part in (launcher, archive_path):
            with part.open("rb") as source:
                shutil.copyfileobj(source, output)
    target.chmod(0o755)
    launcher.unlink()
    archive_path.unlink()
    print(f"{target}: {target.stat().st_size / 1e6:.0f} MB")


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "dist")
