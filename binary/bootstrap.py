"""First module of the binary: makes extension modules importable and starts the program.

An extension module is copied from the archive into an anonymous file in memory and
loaded from there, since the hosts have no disk.
"""

import posix
import sys
import zipimport
from _frozen_importlib_external import ExtensionFileLoader, spec_from_file_location

import _launcher

ARCHIVE = "/proc/self/exe"
# Names of shared libraries that extension modules need, in the order to load them.
LIBRARY_LIST = "lib/order.txt"

_archive = zipimport.zipimporter(ARCHIVE)


def _memory_file(name):
    """Copies an entry into an anonymous file and returns its path.

    The descriptor stays open: the loader identifies a library by its path, and a
    descriptor that is used again would name another library.
    """
    data = memoryview(_archive.get_data(f"{ARCHIVE}/{name}"))
    descriptor = posix.memfd_create(name.rpartition("/")[2], posix.MFD_CLOEXEC)
    while data:
        data = data[posix.write(descriptor, data) :]
    return f"/proc/self/fd/{descriptor}"


class ExtensionFinder:
    """Finds extension modules in the archive by their dotted name."""

    def __init__(self):
        entries = _archive.get_data(f"{ARCHIVE}/extensions.txt").decode().split("\n")
        self._entries_by_name = dict(line.split(" ") for line in entries if line)

    def find_spec(self, name, path=None, target=None):
        entry = self._entries_by_name.get(name)
        if entry is None:
            return None
        location = _memory_file(entry)
        loader = ExtensionFileLoader(name, location)
        return spec_from_file_location(name, location, loader=loader)


def _load_libraries():
    """Loads bundled shared libraries, so that they need not be on the host."""
    names = _archive.get_data(f"{ARCHIVE}/{LIBRARY_LIST}").decode().split()
    for name in names:
        _launcher.load_library(_memory_file(f"lib/{name}"))


def main():
    _load_libraries()
    sys.meta_path.insert(0, ExtensionFinder())
    sys.frozen = True
    from snipetrestle.cli import main as run

    sys.exit(run())
