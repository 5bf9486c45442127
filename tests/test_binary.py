"""Test that the single-file binary writes no files and starts no second process."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = """
daemon: {{name: entry-1, failure_domain: palermo, region: sicily}}
listen:
  callers: "127.0.0.1:{callers}"
  peers: "127.0.0.1:0"
  operators: "127.0.0.1:0"
platform:
  configuration_service: "http://127.0.0.1:1"
  host_list: "http://127.0.0.1:1"
"""
# Timeouts that only detect a hang. They are no speed requirements.
START_LIMIT_S = 60.0
BUILD_LIMIT_S = 300.0


class BinaryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_daemon_runs_as_one_process_and_writes_no_file(self):
        """Guards against a binary that unpacks to disk or runs as a child process."""
        self.run_build()
        process = self.start_daemon()
        self.assertEqual(200, self.wait_healthy(process))
        self.assertEqual([], self.children_of(process.pid))
        self.assertEqual([], self.written_files(process.pid))
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(START_LIMIT_S))

    def run_build(self):
        subprocess.run(
            [sys.executable, str(ROOT / "binary" / "build.py"), str(self.folder)],
            check=True,
            timeout=BUILD_LIMIT_S,
            stdout=subprocess.DEVNULL,
        )

    def start_daemon(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        settings = self.folder / "settings.yaml"
        settings.write_text(SETTINGS.format(callers=self.port))
        process = subprocess.Popen(
            [str(self.folder / "snipetrestle"), "serve", "--settings", str(settings)],
            # /proc is not writable, and without TMPDIR and HOME no other folder is set.
            cwd="/proc",
            env={},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_healthy(self, process):
        deadline = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline and process.poll() is None:
            try:
                url = f"http://127.0.0.1:{self.port}/healthz"
                with urllib.request.urlopen(url, timeout=5) as response:
                    return response.status
            except (urllib.error.URLError, ConnectionError):
                time.sleep(0.1)
        return f"not healthy; exit status {process.poll()}"

    def children_of(self, pid):
        return [
            child
            for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children")
            for child in path.read_text().split()
        ]

    def written_files(self, pid):
        """Returns the open files on disk that are writable."""
        files = []
        for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
            try:
                target = os.readlink(path)
                info = (path.parent.parent / "fdinfo" / path.name).read_text()
            except FileNotFoundError:
                # The descriptor was closed after the directory was listed.
                continue
            access = int(info.split("flags:")[1].split()[0], 8)
            in_memory = target.startswith(("/memfd:", "/dev/"))
            if target.startswith("/") and not in_memory and access & os.O_ACCMODE:
                files.append(target)
        return files
