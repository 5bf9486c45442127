"""Keeps the logs of the processes of a failed test, so that its cause can be found."""

import contextlib
import os
import pathlib
import shutil
import tempfile
import time

KEPT_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "target/failed-tests"


@contextlib.contextmanager
def log_folder(name):
    """Gives the block a temporary folder, which is kept under ``name`` if it fails."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            yield pathlib.Path(folder)
        except BaseException:
            keep(folder, name)
            raise


def keep(folder, name):
    """Copies a folder to KEPT_FOLDER and prints where it is."""
    started = time.strftime("%Y%m%dT%H%M%S")
    kept = KEPT_FOLDER / f"{started}-{os.getpid()}-{name}"
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    print(f"logs are kept in {kept.relative_to(KEPT_FOLDER.parent.parent)}", flush=True)
