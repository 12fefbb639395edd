"""Counts the executions of each request on an upstream stand-in.

Checks read these counts to find lost and doubled executions.
"""

import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO, NamedTuple

import msgspec
import xxhash

#: Number of requests kept; the oldest are discarded beyond it. 215 requests
#: per second reach it after about 15 minutes.
ENTRY_LIMIT = 200_000


class WorkKey(NamedTuple):
    """Identifies one request of a caller.

    ``request`` is the ``Greengage-Request`` header, ``tag`` the caller's
    ``X-Request-Tag``, ``idempotency`` its ``Idempotency-Key``, and
    ``fingerprint`` the xxh3-64 of method, target and body.
    """

    request: str
    tag: str
    idempotency: str
    fingerprint: str
    method: str
    target: str


class Run(msgspec.Struct):
    """Number of executions of one request."""

    request: str
    tag: str
    idempotency: str
    fingerprint: str
    method: str
    target: str
    started: int = 0
    finished: int = 0
    stopped: int = 0


class LedgerPage(msgspec.Struct):
    """Response body of ``GET /_ledger``; ``?runs=0`` omits ``runs``.

    ``dropped`` counts the runs discarded because of the entry limit.
    ``after_drain`` counts the requests accepted after the start of a drain,
    and ``after_drain_ms`` is the time from that start to the last of them.
    """

    upstream: str
    started: int
    finished: int
    stopped: int
    shed: int
    after_drain: int
    after_drain_ms: float
    dropped: int
    runs: list[Run]


class Entry(msgspec.Struct, frozen=True):
    """One line of a ledger file; ``event`` is ``started`` or ``finished``.

    ``at_s`` is the monotonic time of the host in seconds.
    """

    at_s: float
    upstream: str
    event: str
    tag: str
    idempotency: str
    method: str


def read_entries(paths: Iterable[Path]) -> Iterator[Entry]:
    """Yield the entries of ledger files; an incomplete line is skipped.

    A kill can cut off the last line of a file.
    """
    for path in paths:
        for line in path.read_bytes().splitlines(keepends=True):
            if line.endswith(b'\n'):
                yield msgspec.json.decode(line, type=Entry)


def fingerprint(method: bytes, target: bytes, body: bytes) -> str:
    """Return the xxh3-64 of a request as hex digits."""
    digest = xxhash.xxh3_64()
    for part in (method, b' ', target, b' ', body):
        digest.update(part)
    return digest.hexdigest()


class Ledger:
    """Counts the executions of each request."""

    def __init__(
        self,
        upstream: str,
        entry_limit: int = ENTRY_LIMIT,
        path: str = '',
    ) -> None:
        """Keep the counts of at most ``entry_limit`` requests.

        Executions are also appended to the file ``path``, so that they are
        known after a kill. Each line is written unbuffered, before the
        execution continues.
        """
        self._upstream = upstream
        self._file: BinaryIO | None = None
        if path:
            self._file = Path(path).open('ab', buffering=0)
        self._entry_limit = entry_limit
        self._runs: OrderedDict[WorkKey, Run] = OrderedDict()
        self.started = 0
        self.finished = 0
        self.stopped = 0
        self.shed = 0
        self.after_drain = 0
        self.after_drain_ms = float()
        self.dropped = 0

    def start(self, key: WorkKey) -> None:
        """Count an execution that begins."""
        self.started += 1
        self._run(key).started += 1
        self._write('started', key)

    def finish(self, key: WorkKey) -> None:
        """Count an execution that finished."""
        self.finished += 1
        self._run(key).finished += 1
        self._write('finished', key)

    def stop(self, key: WorkKey) -> None:
        """Count an execution that stopped before its end."""
        self.stopped += 1
        self._run(key).stopped += 1

    def page(self, with_runs: bool = True) -> LedgerPage:
        """Return the totals and, if asked for, the counts per request."""
        return LedgerPage(
            upstream=self._upstream,
            started=self.started,
            finished=self.finished,
            stopped=self.stopped,
            shed=self.shed,
            after_drain=self.after_drain,
            after_drain_ms=self.after_drain_ms,
            dropped=self.dropped,
            runs=list(self._runs.values()) if with_runs else [],
        )

    def _write(self, event: str, key: WorkKey) -> None:
        if self._file is not None:
            entry = Entry(
                time.monotonic(),
                self._upstream,
                event,
                key.tag,
                key.idempotency,
                key.method,
            )
            self._file.write(b'%b\n' % msgspec.json.encode(entry))

    def _run(self, key: WorkKey) -> Run:
        run = self._runs.get(key)
        if run is None:
            run = Run(*key)
            self._runs[key] = run
            if len(self._runs) > self._entry_limit:
                self._runs.popitem(last=False)
                self.dropped += 1
        return run
