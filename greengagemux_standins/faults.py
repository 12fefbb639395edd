"""Faults of an upstream stand-in, set as JSON at ``POST /_fault``."""

from enum import Enum
from typing import Annotated

import msgspec
import xxhash

_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
_Factor = Annotated[float, msgspec.Meta(gt=0)]

_BUCKETS = 1000


class WrongKind(Enum):
    """How a wrong response differs from the correct one."""

    tag = 'tag'
    truncated = 'truncated'
    short = 'short'


class HealthReport(Enum):
    """Health that ``/health`` and ``/load`` report.

    ``true`` reports the actual health; the others report a fixed one.
    """

    true = 'true'
    healthy = 'healthy'
    sick = 'sick'


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Persistent faults; each ``POST`` replaces all of them.

    A wrong response of kind ``tag`` carries the tag of another request,
    ``truncated`` ends before its declared length, and ``short`` is complete
    but only half the correct body. ``half_alive`` is the share of paths that
    fail, selected by their hash. With ``flap_period_ms`` the other faults are
    in effect during the first half of each period; if there are none, all
    requests fail then. ``reset`` is the share of requests whose connection is
    reset after they were executed. ``report_lag_ms`` is the age up to which
    a load report is reused.
    """

    hang: bool = False
    slow: _Factor = 1
    errors: _Share = 0
    error_status: Annotated[int, msgspec.Meta(ge=500, le=599)] = 500
    wrong: _Share = 0
    wrong_kinds: tuple[WrongKind, ...] = tuple(WrongKind)
    half_alive: _Share = 0
    failing_prefixes: tuple[str, ...] = ()
    flap_period_ms: _Milliseconds = 0
    reset: _Share = 0
    crash_body: str = ''
    health: HealthReport = HealthReport.true
    report_lag_ms: _Milliseconds = 0


class FaultOrder(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /_fault``: persistent faults and immediate actions.

    ``silent`` makes the open connections silent, ``reset_connections`` resets
    them, ``pause_ms`` stops all progress for that time, ``drain`` starts a
    drain, ``crash`` crashes the upstream.
    """

    pause_ms: _Milliseconds = 0
    silent: bool = False
    reset_connections: bool = False
    drain: bool = False
    crash: bool = False


_FIELDS = tuple(Faults.__struct_fields__)
_NO_FAULTS = Faults()


def persistent_faults(order: Faults) -> Faults:
    """Return the persistent faults of an order, without its actions."""
    return Faults(**{name: getattr(order, name) for name in _FIELDS})


def in_effect(faults: Faults, elapsed_ms: float) -> Faults:
    """Return the faults in effect ``elapsed_ms`` after they were set."""
    if not faults.flap_period_ms:
        return faults
    phase = elapsed_ms % faults.flap_period_ms
    if phase >= faults.flap_period_ms / 2:
        return _NO_FAULTS
    steady = msgspec.structs.replace(faults, flap_period_ms=0)
    if steady == _NO_FAULTS:
        return msgspec.structs.replace(steady, errors=1)
    return steady


def target_fails(faults: Faults, target: str) -> bool:
    """Return whether a half-alive upstream fails this target."""
    if faults.failing_prefixes and target.startswith(faults.failing_prefixes):
        return True
    path = target.partition('?')[0]
    bucket = xxhash.xxh3_64_intdigest(path.encode()) % _BUCKETS
    return bucket < faults.half_alive * _BUCKETS
