"""First module that the launcher runs: sets up imports and starts the program.

Extension modules and shared libraries are copied from the archive into anonymous files
in memory and loaded from there, since the hosts have no disk.
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


def _copy_to_memory_file(name):
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
    """Import finder for the extension modules in the archive, by their dotted names."""

    def __init__(self):
        lines = _archive.get_data(f"{ARCHIVE}/extensions.txt").decode().split("\n")
        self._entries_by_name = dict(line.split(" ") for line in lines if line)

    def find_spec(self, name, path=None, target=None):
        entry = self._entries_by_name.get(name)
        if entry is None:
            return None
        location = _copy_to_memory_file(entry)
        loader = ExtensionFileLoader(name, location)
        return spec_from_file_location(name, location, loader=loader)


def _load_libraries():
    """Loads the bundled shared libraries, so that the host need not have them."""
    names = _archive.get_data(f"{ARCHIVE}/{LIBRARY_LIST}").decode().split()
    for name in names:
        _launcher.load_library(_copy_to_memory_file(f"lib/{name}"))


def main():
    _load_libraries()
    sys.meta_path.insert(0, ExtensionFinder())
    sys.frozen = True
    from snipetrestle.cli import main as run_program

    sys.exit(run_program())
