"""Plays days beside each other as subprocesses of the users' bench."""

import concurrent.futures
import pathlib
import shlex
import signal
import subprocess
import threading

from benchmarks.trouble_days_kinds import parse_listed_kinds

# A play that takes longer than this in real time is broken off.
PLAY_LIMIT_S = 3600.0
# The bench gets this time to end its own processes after a signal.
STOP_LIMIT_S = 20.0
KINDS_LIMIT_S = 120.0


class BenchFailed(Exception):
    """The bench could not be asked for the kinds of a site."""


class Play:
    """The play of one Day. ``exit_code`` is None if it was not played to its end."""

    __slots__ = ("day", "command", "log_path", "exit_code", "problem")

    def __init__(self, day, command, log_path):
        self.day = day
        self.command = command
        self.log_path = log_path
        self.exit_code = None
        self.problem = "not played"


class Bench:
    """The program of the bench, run in a checkout. ``folder`` holds days and logs."""

    def __init__(self, program, checkout, folder, until_s):
        self._program = program
        self._checkout = checkout
        self._folder = pathlib.Path(folder)
        self._until_s = until_s
        self._running = set()
        self._lock = threading.Lock()
        self._is_stopped = False

    def listed_kinds(self, site_path):
        """Returns the names of the kinds of a site. Raises BenchFailed."""
        command = [self._program, "kinds", str(site_path)]
        try:
            result = subprocess.run(
                command,
                cwd=self._checkout,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=KINDS_LIMIT_S,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise BenchFailed(f"{shlex.join(command)}: {error}") from None
        names = parse_listed_kinds(result.stdout)
        if result.returncode or not names:
            raise BenchFailed(
                f"{shlex.join(command)}: exit code {result.returncode}, "
                f"{len(names)} kinds: {result.stderr.strip()[-300:]}"
            )
        return names

    def prepare(self, day, site_path):
        """Writes the file of a Day, removes its last log and returns its Play."""
        day_path = self._folder / f"{day.name}.toml"
        day_path.write_text(day.to_toml())
        log_path = day_path.with_suffix(".log")
        log_path.unlink(missing_ok=True)
        command = [
            *(self._program, "run", str(site_path), str(day_path)),
            *("--seed", str(day.seed), "--until", f"{self._until_s:g}"),
            *("--log", "all", "--why", f"drawn day: {day.work} beside {day.trouble}"),
        ]
        return Play(day, command, log_path)

    def replay_text(self, play):
        """Returns the shell command that plays a day again."""
        folder = shlex.quote(str(self._checkout))
        return f"cd {folder} && {shlex.join(play.command)}"

    def play_all(self, plays, jobs, on_end):
        """Plays with at most ``jobs`` at a time; calls ``on_end(play)`` after each.

        If the caller is interrupted, the plays in progress are ended as well.
        """
        pool = concurrent.futures.ThreadPoolExecutor(jobs)
        try:
            for future in concurrent.futures.as_completed(
                [pool.submit(self._play, play) for play in plays]
            ):
                on_end(future.result())
        except BaseException:
            self._stop()
            raise
        finally:
            pool.shutdown(cancel_futures=True)

    def _play(self, play):
        with play.log_path.open("wb") as log:
            try:
                process = self._start(play, log)
            except OSError as error:
                play.problem = str(error)
                return play
            if process is None:
                return play
            self._await_end(play, process)
        return play

    def _start(self, play, log):
        """Starts the bench, or returns None after a stop. Raises OSError."""
        with self._lock:
            if self._is_stopped:
                return None
            process = subprocess.Popen(
                play.command,
                cwd=self._checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # Else the bench would get an interrupt of the terminal twice.
                process_group=0,
            )
            self._running.add(process)
            return process

    def _await_end(self, play, process):
        try:
            play.exit_code = process.wait(PLAY_LIMIT_S)
            play.problem = "broken off" if self._is_stopped else None
        except subprocess.TimeoutExpired:
            play.problem = f"broken off after {PLAY_LIMIT_S:g} s"
            process.send_signal(signal.SIGINT)
            _await_stop(process)
        finally:
            with self._lock:
                self._running.discard(process)

    def _stop(self):
        with self._lock:
            self._is_stopped = True
            running = list(self._running)
        for process in running:
            process.send_signal(signal.SIGINT)
        for process in running:
            _await_stop(process)


def _await_stop(process):
    """Waits for a bench that was told to stop, while it ends its own processes."""
    try:
        process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
