"""Comparison of what callers were told with what upstreams ran."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from greengagemux.loadreports import Result
from greengagemux.loads import Ended

from .ledgers import LedgerPage, Run

_WRITE_METHODS = frozenset(('POST', 'PUT', 'PATCH', 'DELETE'))


class Violations(msgspec.Struct, frozen=True):
    """Tags of requests that break a requirement.

    ``doubled`` are writes that began more than once (R4), ``denied`` requests
    that began although their caller was told "not run" (R3), ``missing``
    completed requests without a finished run. ``uncertain`` is true when a
    ledger has dropped entries or was lost; ``missing`` is then not proven.
    """

    doubled: tuple[str, ...]
    denied: tuple[str, ...]
    missing: tuple[str, ...]
    uncertain: bool

    @property
    def clean(self) -> bool:
        """Whether no request breaks a requirement."""
        return not (self.doubled or self.denied or self.missing)


def compare(
    ended: Iterable[Ended], pages: Iterable[LedgerPage], lost: bool = False
) -> Violations:
    """Compare the ends of requests with all ledgers.

    ``lost`` tells that an upstream ended, and its ledger with it.
    """
    started: Counter[str] = Counter()
    finished: Counter[str] = Counter()
    writes: set[str] = set()
    dropped = 0
    for page in pages:
        dropped += page.dropped
        for run in page.runs:
            started[run.tag] += run.started
            finished[run.tag] += run.finished
            if _is_write(run):
                writes.add(run.tag)
    ends = tuple(ended)
    return Violations(
        doubled=tuple(sorted(tag for tag in writes if started[tag] > 1)),
        denied=_tags(ends, Result.not_run, started, has_run=True),
        missing=_tags(ends, Result.completed, finished, has_run=False),
        uncertain=lost or dropped > 0,
    )


def _is_write(run: Run) -> bool:
    return bool(run.tag) and run.method in _WRITE_METHODS


def _tags(
    ended: tuple[Ended, ...],
    outcome: Result,
    runs: Counter[str],
    has_run: bool,
) -> tuple[str, ...]:
    return tuple(
        one.tag
        for one in ended
        if one.outcome is outcome and bool(runs[one.tag]) is has_run
    )
