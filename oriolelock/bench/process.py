"""
oriolelock.bench.process
~~~~~~~~~~~~~~~~~~~~~~~~

    One process of a fleet, with the signals and accidents that experiments need.
"""

import pathlib
import shutil
import signal
import subprocess
import sys

import oriolelock
from oriolelock.bench import errors, http, waiting

__all__ = ["Process"]

ROOT = pathlib.Path(oriolelock.__file__).parent.parent
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0


class Process:
    """Runs ``python -m MODULE SETTINGS``; standard error goes to a file beside the settings.

    ``ready_path`` answers 200 when the process is ready. ``data_folder`` may be None.
    """

    def __init__(
        self,
        role: str,
        name: str,
        module: str,
        settings: pathlib.Path,
        address: str,
        ready_path: str,
        data_folder: pathlib.Path | None = None,
    ):
        self.role, self.name, self.address = role, name, address
        self.settings = settings
        self.data_folder = data_folder
        self.log = settings.with_suffix(".log")
        self._module = module
        self._ready_path = ready_path
        self._popen: subprocess.Popen | None = None
        self._is_frozen = False

    @property
    def pid(self) -> int | None:
        """The process id, or None when it never started."""
        return self._popen.pid if self._popen else None

    def is_running(self) -> bool:
        """Return whether the process exists (frozen or not)."""
        return self._popen is not None and self._popen.poll() is None

    def _argv(self, *options):
        return [sys.executable, "-m", self._module, *options, str(self.settings)]

    def run_once(self, *options: str) -> None:
        """Run the command with options to its end; raises BenchError when it fails."""
        done = subprocess.run(
            self._argv(*options), cwd=ROOT, capture_output=True, text=True, check=False
        )
        if done.returncode:
            raise errors.BenchError(f"{self.name} {options}: {done.stderr.strip()}")

    def start(self) -> None:
        """Start the process without waiting for it."""
        with self.log.open("ab") as log:
            # A session of its own keeps a Ctrl-C at the terminal from reaching the process
            # before the launcher stops it in order.
            self._popen = subprocess.Popen(
                self._argv(), cwd=ROOT, stdout=log, stderr=log, start_new_session=True
            )
        self._is_frozen = False

    def is_ready(self) -> bool:
        """Return whether the process answers that it is ready; raises CallFailed."""
        return http.request("GET", self.address, self._ready_path, timeout_s=2).status == 200

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the process is ready; raises NotReady, at once when it has ended."""

        def condition():
            if not self.is_running():
                raise errors.NotReady(f"{self.name} ended with {self.exit_code()}, see {self.log}")
            return self.is_ready()

        waiting.until(condition, timeout_s, f"{self.name} ready, see {self.log}")

    def exit_code(self) -> int | None:
        """Return the exit code, None while it runs."""
        return self._popen.poll() if self._popen else None

    def ask_to_stop(self) -> None:
        """Send SIGTERM, after SIGCONT when the process is frozen."""
        if self.is_running():
            self.resume()
            self._popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code; raises NotReady and leaves it running."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise errors.NotReady(f"{self.name} did not end within {timeout_s:g} s") from exc

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop gracefully and return the exit code."""
        self.ask_to_stop()
        return self.wait(timeout_s)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self.is_running():
            self._popen.kill()
            self._popen.wait()

    def freeze(self) -> None:
        """Send SIGSTOP and wait until no thread of the process runs any more."""
        self._popen.send_signal(signal.SIGSTOP)
        self._is_frozen = True
        waiting.until(self._is_stopped, STOP_TIMEOUT_S, f"{self.name} frozen")

    def _is_stopped(self):
        states = []
        for path in pathlib.Path(f"/proc/{self.pid}/task").iterdir():
            # The state follows the command, which is in brackets and may hold any character.
            states.append((path / "stat").read_text().rpartition(")")[2].split()[0])
        return set(states) == {"T"}

    def resume(self) -> None:
        """Send SIGCONT when the process is frozen."""
        if self._is_frozen:
            self._popen.send_signal(signal.SIGCONT)
            self._is_frozen = False

    def restart(self) -> None:
        """Start again after ``stop`` or ``kill``, and wait until it is ready."""
        self.start()
        self.wait_ready()

    def delete_data(self) -> None:
        """Delete the data folder of a process that does not run."""
        assert not self.is_running()
        if self.data_folder and self.data_folder.exists():
            shutil.rmtree(self.data_folder)
