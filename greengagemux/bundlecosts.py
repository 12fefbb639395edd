"""Size and processor time of bundles at full size, and the longest turn."""

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
from .effects import Continue, raise_failures
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
MS_PER_SECOND = 1000
_ROUTE_STEPS = (1, 7)
_STARTED = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of sections of a bundle; the defaults are the full size."""

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
    """Cost of one bundle operation.

    ``processor_ms`` is its total time over ``turns`` turns of the event loop,
    of which the longest took ``longest_ms``.
    """

    name: str
    size_bytes: int
    processor_ms: float
    turns: int
    longest_ms: float


def bundle_text(size: Size, version: int) -> str:
    """Return a bundle; each version changes the limit of one account."""
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
            f'route-{caller * step % size.routes}' for step in _ROUTE_STEPS
        )
        limit = 50 + version if caller == version % size.callers else 50
        yield (
            f'[caller account-{caller}]\ntoken_sha256 = {token}\n'
            f'max_in_flight = {limit}\nroutes = {routes}\n'
        )


class BundleReader:
    """The reducer of a daemon that reads bundle records."""

    def __init__(self) -> None:
        """Create a daemon without a bundle."""
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
        options = DaemonOptions(own, (), _STARTED)
        self.daemon = Daemon(options, rollout, Random(1))
        self._texts = ['']

    def apply(self, name: str, text: str, *, delta: bool) -> Cost:
        """Let the daemon read and apply the next version, and measure it.

        With ``delta`` the record is signed against the version before.
        """
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
            # A new daemon applies a bundle only after reading to the end.
            *self._turns(LogRead(STREAM, first, following, ())),
        ]
        return Cost(
            name,
            len(payload),
            sum(turns) * MS_PER_SECOND,
            len(turns),
            max(turns) * MS_PER_SECOND,
        )

    def build_full(self) -> Cost:
        """Build the full record of the bundle in force, and measure it.

        A daemon does this for a new peer, which has no base for a delta.
        Raises ``ValueError`` without an accepted bundle.
        """
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
            sum(turns) * MS_PER_SECOND,
            len(turns),
            max(turns) * MS_PER_SECOND,
        )

    def _turns(self, event: Event) -> Iterator[float]:
        waiting = [event]
        while waiting:
            started = time.perf_counter()
            effects = reduce(self.daemon, waiting.pop(), _STARTED)
            yield time.perf_counter() - started
            raise_failures(effects)
            if any(isinstance(effect, Continue) for effect in effects):
                waiting.append(Advance())


@contextmanager
def gc_disabled() -> Iterator[None]:
    """Disable the garbage collector, as a daemon does between its timers."""
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
    """Measure a first bundle, deltas after it, and the full record."""
    with gc_disabled():
        reader = BundleReader()
        first = reader.apply('first', bundle_text(size, 1), delta=False)
        later = [
            reader.apply('delta', bundle_text(size, number), delta=True)
            for number in range(2, versions + 2)
        ]
        return [first, *later, reader.build_full()]
