"""Child processes of the launcher, addressed by name."""

import os
import signal
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType, TracebackType

from greengagemux.clocks import Clock, SystemClock, ms

#: Directory of both packages; ``python -m`` finds them there.
ROOT = Path(__file__).resolve().parent.parent
STOP_LIMIT_MS = 20_000
_POLL_S = 0.05
_NO_VARIABLES: Mapping[str, str] = MappingProxyType({})


class LaunchError(Exception):
    """A process could not be started or did not become ready."""


class Processes:
    """Child processes with one log file each; leaving the context ends them.

    Methods that act on a started process raise ``LaunchError`` if no process
    of that name was started.
    """

    def __init__(self, run_dir: Path, clock: Clock | None = None) -> None:
        """Create ``run_dir`` and write the logs there."""
        self._run_dir = run_dir
        self._clock = clock or SystemClock()
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        run_dir.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> 'Processes':
        """Return itself."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Stop all running processes, in the order of their start."""
        self.stop(self._children)

    def ids(self) -> Mapping[str, int]:
        """Return the process ids by name."""
        return {name: child.pid for name, child in self._children.items()}

    def log_path(self, name: str) -> Path:
        """Return the log file of a process."""
        return self._run_dir / f'{name}.log'

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        variables: Mapping[str, str] = _NO_VARIABLES,
    ) -> int:
        """Start ``python ARGUMENTS`` and return the process id.

        ``variables`` are added to the environment. Raises ``LaunchError`` if
        a process of that name is running.
        """
        if name in self._children and self.is_running(name):
            raise LaunchError(f'{name} is already running')
        with self.log_path(name).open('ab') as log:
            child = subprocess.Popen(  # noqa: S603
                (sys.executable, *arguments),
                cwd=ROOT,
                env={**os.environ, **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._children[name] = child
        return child.pid

    def run(self, name: str, arguments: Sequence[str], limit_s: float) -> str:
        """Run ``python ARGUMENTS`` to its end and return its output.

        Raises ``LaunchError`` if it runs for more than ``limit_s`` seconds,
        or with the output if it fails.
        """
        try:
            done = subprocess.run(  # noqa: S603
                (sys.executable, *arguments),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=limit_s,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            raise LaunchError(
                f'{name} did not end within {limit_s} s'
            ) from error
        output = done.stdout.decode(errors='replace')
        self.log_path(name).write_text(output)
        if done.returncode:
            raise LaunchError(f'{name} ended with {done.returncode}: {output}')
        return output

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._child(name).poll() is None

    def status(self, name: str) -> int | None:
        """Return the exit status of a process, or ``None`` while it runs."""
        return self._child(name).poll()

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its end."""
        self._signal(name, signal.SIGKILL)
        self._child(name).wait()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process, without waiting for its end."""
        self._signal(name, signal.SIGTERM)

    def pause(self, name: str) -> None:
        """Suspend a process until ``resume``."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._signal(name, signal.SIGCONT)

    def stop(
        self, names: Iterable[str], limit_ms: int = STOP_LIMIT_MS
    ) -> list[str]:
        """Send SIGTERM to all named processes and wait for their end.

        Kills and returns those still running after ``limit_ms``.
        """
        stopping = tuple(names)
        for stopped in stopping:
            self._signal(stopped, signal.SIGTERM)
            # A suspended process handles SIGTERM only once it is resumed.
            self._signal(stopped, signal.SIGCONT)
        self._wait(lambda: not any(map(self.is_running, stopping)), limit_ms)
        still_running = [name for name in stopping if self.is_running(name)]
        for unresponsive in still_running:
            self.kill(unresponsive)
        return still_running

    def wait_until(
        self, name: str, is_ready: Callable[[], bool], limit_ms: int
    ) -> None:
        """Wait until ``is_ready`` returns true.

        Raises ``LaunchError`` with the last 1000 characters of the log if the
        process ends or is not ready within ``limit_ms``.
        """
        self._wait(lambda: is_ready() or not self.is_running(name), limit_ms)
        if not self.is_running(name):
            status = self._child(name).returncode
            raise LaunchError(f'{name} ended with {status}: {self._tail(name)}')
        if not is_ready():
            raise LaunchError(
                f'{name} not ready after {limit_ms} ms: {self._tail(name)}'
            )

    def _wait(self, is_done: Callable[[], bool], limit_ms: int) -> None:
        until = self._clock.monotonic() + ms(limit_ms)
        while not is_done() and self._clock.monotonic() < until:
            time.sleep(_POLL_S)

    def _child(self, name: str) -> subprocess.Popen[bytes]:
        try:
            return self._children[name]
        except KeyError as error:
            known = ', '.join(self._children)
            raise LaunchError(f'no process {name}; known: {known}') from error

    def _signal(self, name: str, number: signal.Signals) -> None:
        # The system does not reuse the id of a child before ``poll`` has
        # collected its exit status.
        if self.is_running(name):
            os.kill(self._child(name).pid, number)

    def _tail(self, name: str) -> str:
        text = self.log_path(name).read_text(errors='replace')
        return text[-1000:]
