"""Callers in threads of a test, each with one request at a time.

They need no reactor, so that a test can run several fleets in one process.
"""

import random
import threading
import time
from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from itertools import count

from greengagemux.loadclients import Answer, Lost
from greengagemux.loadplans import Arrival, Plan, Profile
from greengagemux.loadreports import Result
from greengagemux.loads import Planned, classify

from .fleets import Daemon
from .servers import LOOPBACK
from .soakcallers import Told, kind_of

#: A caller gives up this long after its deadline; a busy machine is slow.
LATE_S = 10.0
ATTEMPT_LIMIT = 40
REPEAT_AFTER_S = 0.25
#: Attempts of a keyed write that are also made after ``stop``; a planned
#: handover takes less.
LAST_ATTEMPTS = 20

_MS_PER_SECOND = 1000
_UNSENT = Lost.refused.value


class CallerThreads:
    """Callers that repeat as ``docs/callers.md`` tells them to."""

    def __init__(
        self, plan: Plan, entrances: Sequence[Daemon], kinds: Sequence[str]
    ) -> None:
        """Prepare one caller for each of ``kinds``."""
        #: Daemons to call; may be replaced at any time.
        self.entrances = list(entrances)
        self.told: list[Told] = []
        self._plan = plan
        self._numbers = count()
        self._ending = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(place, kind))
            for place, kind in enumerate(kinds)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing new and wait for the ends of all requests."""
        self._ending.set()
        for thread in self._threads:
            if thread.ident:
                thread.join()

    def count(self, kind: str = '', outcome: Result | None = None) -> int:
        """Return how many attempts ended, of a kind and with an outcome."""
        return sum(
            kind in {'', one.kind} and outcome in {None, one.outcome}
            for one in tuple(self.told)
        )

    def _call(self, seed: int, kind: str) -> None:
        rng = random.Random(seed)
        profiles = [one for one in self._plan.profiles if kind_of(one) == kind]
        while not self._ending.is_set():
            self._send(_planned(rng, profiles, next(self._numbers)), rng)

    def _send(self, planned: Planned, rng: random.Random) -> None:
        keyed = planned.arrival.profile.keyed
        for attempt in range(1, ATTEMPT_LIMIT):
            told = _attempt(planned, rng.choice(self.entrances), attempt)
            self.told.append(told)
            tired = self._ending.is_set() and attempt > LAST_ATTEMPTS
            uncertain = told.outcome in {Result.unknown, Result.lost}
            may_repeat = keyed or told.reason == _UNSENT
            if tired or not (uncertain and may_repeat):
                return
            time.sleep(REPEAT_AFTER_S)


def _planned(
    rng: random.Random, profiles: list[Profile], number: int
) -> Planned:
    profile = rng.choice(profiles)
    target = rng.choice(profile.targets).replace('{n}', str(number))
    arrival = Arrival(number, 0, profile, target, 0, direct_first=False)
    return Planned(0, 'fleet', f't{number}', arrival)


def _attempt(planned: Planned, daemon: Daemon, attempt: int) -> Told:
    profile = planned.arrival.profile
    key = f'key-{planned.tag}' if profile.keyed else ''
    sent_s = time.monotonic()
    outcome, reason = _exchange(planned, daemon, key)
    return Told(
        planned.tag,
        kind_of(profile),
        key,
        daemon.http_address,
        attempt,
        outcome,
        reason,
        sent_s,
        time.monotonic(),
    )


def _exchange(planned: Planned, daemon: Daemon, key: str) -> tuple[Result, str]:
    limit_s = planned.arrival.profile.deadline_ms / _MS_PER_SECOND + LATE_S
    connection = HTTPConnection(LOOPBACK, daemon.http_port, timeout=limit_s)
    try:
        return classify(planned, _answer(connection, planned, key))
    except ConnectionRefusedError:
        return Result.lost, _UNSENT
    except TimeoutError:
        return Result.hung, 'no answer'
    except (OSError, HTTPException) as error:
        return Result.lost, repr(error)
    finally:
        connection.close()


def _answer(connection: HTTPConnection, planned: Planned, key: str) -> Answer:
    profile = planned.arrival.profile
    headers = {
        'X-Request-Tag': planned.tag,
        'Authorization': f'Bearer {profile.token}',
        'Greengage-Deadline-Ms': str(profile.deadline_ms),
    }
    if key:
        headers['Idempotency-Key'] = key
    body = b''
    connection.request(profile.method, planned.arrival.target, body, headers)
    answer = connection.getresponse()
    body = answer.read()
    lines = [f'{name}: {text}' for name, text in answer.getheaders()]
    head = '\r\n'.join(('HTTP/1.1', *lines))
    return Answer(answer.status, head.encode('latin-1'), body)
