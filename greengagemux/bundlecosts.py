"""Bytes, processor time and longest hold of bundles at full size."""

import gc
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from hashlib import sha256
from random import Random

from . import bundles
from .effects import Continue
from .events import Advance, Event, LogRead, LogRecord
from .ids import DaemonId, DataCentre, Incarnation, LogOffset, Region
from .messages import MemberRecord
from .reducers import Daemon, DaemonOptions, reduce
from .rollouts import STREAM, Rollout
from .signatures import full_payload, keygen, sign
from .views import rollout_of

logger = logging.getLogger(__name__)

OPERATOR = 'alice'
KEY_SLOTS = 16
MS = 1000
_ROUTES_A_CALLER = (1, 7)
_STARTED = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of sections; the defaults are the design scale."""

    services: int = 160
    routes: int = 2000
    callers: int = 18_000

    def part(self, share: float) -> 'Size':
        """Return a smaller bundle of the same shape."""
        return Size(
            max(1, round(self.services * share)),
            max(1, round(self.routes * share)),
            round(self.callers * share),
        )


FULL = Size()


@dataclass(frozen=True, slots=True)
class Cost:
    """What one piece of work took."""

    name: str
    size_bytes: int
    processor_ms: float
    turns: int
    longest_ms: float


def bundle_text(size: Size, version: int) -> str:
    """Return a text; each version changes the limit of one account."""
    head = f'[bundle]\nversion = {version}\nfollows = {version - 1}\n'
    return '\n'.join((head, *_sections(size, version)))


def _sections(size: Size, version: int) -> Iterator[str]:
    for number in range(size.services):
        yield f'[service service-{number}]\nkey_slots = {KEY_SLOTS}\n'
    for route in range(size.routes):
        service = route % size.services
        yield (
            f'[route route-{route}]\nservice = service-{service}\n'
            f'prefix = /service-{service}/route-{route}/\n'
            'methods = GET, HEAD\nidempotent = yes\npriority = waiting\n'
        )
    for caller in range(size.callers):
        token = sha256(f'token {caller}'.encode()).hexdigest()
        routes = ', '.join(
            f'route-{caller * step % size.routes}' for step in _ROUTES_A_CALLER
        )
        limit = 50 + version if caller == version % size.callers else 50
        yield (
            f'[caller account-{caller}]\ntoken_sha256 = {token}\n'
            f'max_in_flight = {limit}\nroutes = {routes}\n'
        )


class Subject:
    """The reducer of a daemon that reads bundle records."""

    def __init__(self) -> None:
        """Start without a bundle."""
        private, public = keygen()
        self._private = private
        own = MemberRecord(
            daemon=DaemonId('subject'),
            incarnation=Incarnation(1),
            sequence=1,
            data_centre=DataCentre('a'),
            region=Region('r'),
            peer_address='127.0.0.1:1',
        )
        rollout = Rollout({OPERATOR: public}, own.daemon, own.data_centre)
        identity = DaemonOptions(own, (), _STARTED)
        self.daemon = Daemon(identity, rollout, Random(1))
        self._texts = ['']

    def take(self, name: str, text: str, *, delta: bool) -> Cost:
        """Let the daemon read and apply the next version."""
        before = self._texts[-1] if delta else ''
        payload = sign(text, OPERATOR, self._private, before)
        if not before:
            bundles.clear_section_cache()
        gc.collect()
        offset = LogOffset(len(self._texts) - 1)
        self._texts.append(text)
        following = LogOffset(offset + 1)
        first = LogOffset(0)
        record = LogRecord(offset, payload)
        turns = [
            *self._turns(LogRead(STREAM, first, following, (record,))),
            # A new daemon takes a bundle once it has read up to the end.
            *self._turns(LogRead(STREAM, first, following, ())),
        ]
        return Cost(
            name, len(payload), sum(turns) * MS, len(turns), max(turns) * MS
        )

    def repack(self) -> Cost:
        """Build the full record, as for a statement or a new peer."""
        accepted = rollout_of(self.daemon).accepted
        if accepted is None:
            raise ValueError('no bundle was accepted')
        payload = bundles.finish(full_payload(accepted.signed))
        turns: list[float] = []
        steps = full_payload(accepted.signed)
        started = time.perf_counter()
        for _ in steps:
            turns.append(time.perf_counter() - started)
            started = time.perf_counter()
        return Cost(
            'repack',
            len(payload),
            sum(turns) * MS,
            len(turns),
            max(turns) * MS,
        )

    def _turns(self, event: Event) -> Iterator[float]:
        waiting = [event]
        while waiting:
            started = time.perf_counter()
            effects = reduce(self.daemon, waiting.pop(), _STARTED)
            yield time.perf_counter() - started
            if any(isinstance(effect, Continue) for effect in effects):
                waiting.append(Advance())


@contextmanager
def collector_off() -> Iterator[None]:
    """Keep the garbage collector out, as a daemon does between its timers."""
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    except Exception:
        logger.exception('measurement failed')
        raise
    finally:
        gc.enable()
        gc.unfreeze()


def bundle_costs(size: Size = FULL, versions: int = 5) -> list[Cost]:
    """Measure a first bundle and deltas after it in one daemon."""
    with collector_off():
        subject = Subject()
        first = subject.take('first', bundle_text(size, 1), delta=False)
        later = [
            subject.take('delta', bundle_text(size, number), delta=True)
            for number in range(2, versions + 2)
        ]
        return [first, *later, subject.repack()]
