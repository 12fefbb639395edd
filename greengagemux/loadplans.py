"""Load plans: parsing them, and drawing the arrivals of requests.

A plan is INI text with one section ``[profile NAME]`` for each kind of
caller::

    [profile counter-clerks]
    service = depot-ledger
    targets = /stock/{n}, /collections/{n}
    method = GET
    share = 40
    token = counter-clerks-token
    priority = waiting
    keyed = no
    deadline_ms = 2000
    body_bytes = 0
    items = 1000

Each request replaces ``{n}`` by a random number below ``items``. Shares are
relative to their sum. ``keyed`` requests carry an ``Idempotency-Key``.
"""

import configparser
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, NamedTuple

import msgspec

from .messages import Priority
from .outcomes import Failure, FailureError, Step

_PROFILE = 'profile'
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of caller, with the requests that it sends."""

    name: str
    targets: tuple[Annotated[str, msgspec.Meta(pattern='^/')], ...]
    method: Annotated[str, msgspec.Meta(pattern='^[A-Z]+$')] = 'GET'
    service: str = ''
    share: _Positive = 1
    token: str = ''
    priority: Priority = Priority.waiting
    keyed: bool = False
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] = 2000
    body_bytes: _Count = 0
    items: Annotated[int, msgspec.Meta(ge=1)] = 1000


@dataclass(frozen=True, slots=True)
class Plan:
    """The caller profiles of a load run."""

    profiles: tuple[Profile, ...]


class ArrivalKind(Enum):
    """Distribution of the times between requests."""

    poisson = 'poisson'
    constant = 'constant'


class Arrival(NamedTuple):
    """One request to send.

    ``due_s`` counts from the start of the run. ``entrance`` is a random
    number from which the address of the ingress daemon or upstream is
    selected. If ``direct_first`` is set, the direct request of a pair is sent
    before the one through the fleet.
    """

    number: int
    due_s: float
    profile: Profile
    target: str
    entrance: int
    direct_first: bool


def parse_plan(text: str, source: str) -> Plan:
    """Return the plan in ``text``.

    Raises ``FailureError`` with step ``settings`` if it is invalid; the error
    names the source, and the section and key where they are known.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise _failure(source, str(error)) from error
    profiles = tuple(
        _profile(source, section, dict(parser[section]))
        for section in parser.sections()
    )
    if not profiles:
        raise _failure(source, 'no section [profile NAME]')
    return Plan(profiles)


def _profile(source: str, section: str, keys: dict[str, Any]) -> Profile:
    kind, _, name = section.partition(' ')
    if kind != _PROFILE or not name:
        raise _failure(source, f'[{section}]: expected [profile NAME]')
    values = {**keys, 'name': name}
    values['targets'] = _split_list(keys.get('targets', ''))
    keyed = str(keys.get('keyed', 'no')).lower()
    values['keyed'] = configparser.ConfigParser.BOOLEAN_STATES.get(keyed, keyed)
    try:
        profile = msgspec.convert(values, Profile, strict=False)
    except msgspec.ValidationError as error:
        raise _failure(source, f'[{section}]: {error}; {keys}') from error
    if not profile.targets:
        raise _failure(source, f'[{section}] targets: expected /PATH, ...')
    return profile


def _split_list(text: str) -> list[str]:
    return [word.strip() for word in text.split(',') if word.strip()]


def _failure(source: str, detail: str) -> FailureError:
    return FailureError(Failure(Step.settings, source, detail))


def arrivals(
    plan: Plan, rate: float, kind: ArrivalKind, seed: int
) -> Iterator[Arrival]:
    """Yield an endless series of arrivals, with a mean of ``rate`` per second.

    The same arguments give the same series.
    """
    rng = random.Random(seed)
    weights = [profile.share for profile in plan.profiles]
    due_s = float()
    for number in itertools.count():
        profile = rng.choices(plan.profiles, weights)[0]
        item = rng.randrange(profile.items)
        yield Arrival(
            number=number,
            due_s=due_s,
            profile=profile,
            target=rng.choice(profile.targets).replace('{n}', str(item)),
            entrance=rng.getrandbits(32),
            direct_first=bool(rng.getrandbits(1)),
        )
        if kind is ArrivalKind.poisson:
            due_s += rng.expovariate(rate)
        else:
            due_s = (number + 1) / rate
