"""Second attempts of one ingress: observed times, limits and records."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Final

from ..bundles import Service
from ..clocks import in_ms, ms
from ..effects import Outbox, Record
from ..ids import RouteName, ServiceName
from ..messages import Refusal
from ..outcomes import Outcome, Reason
from ..requests import Attempt, PendingRequest
from ..retries import RetryBudget
from .decisions import Situation, Verdict, decide
from .delays import Delay, ObservedTimes, delay_of, percentile_for
from .pressure import Pressure

#: Most extra attempts of a service that an ingress saves up. All ingress
#: daemons together may spend them in one burst.
SAVED_LIMIT: Final = 5.0
#: Extra attempts that are kept for the slowest requests. Without them an
#: ingress that had just used its allowance left some requests of an episode
#: without a second attempt, and the 99.9th percentile was above that without
#: the option.
RESERVED: Final = 2.0
#: Extra attempts from which the delay is not raised to save them.
AMPLE: Final = 4.0
#: Time after which a second attempt that found no place is tried again.
GIVE_UP_FOR: Final = ms(200)
#: Weight of the expected queueing time in the age of a second attempt.
QUEUE_FACTOR: Final = 3
#: Routes of which times are kept; their names come from the bundle.
ROUTE_LIMIT: Final = 4096


class SecondAttempts:
    """Starts and accounts for second attempts of slow requests.

    It has no effect on services whose ``hedge_extra_pct`` is 0.
    """

    def __init__(self, outbox: Outbox) -> None:
        """Start without times and with empty allowances."""
        self._outbox = outbox
        #: Extra attempts that each service may still make. They start empty,
        #: so that the limit also holds if daemons restart often.
        self._allowances: dict[ServiceName, RetryBudget] = {}
        self._times: dict[tuple[ServiceName, RouteName], ObservedTimes] = {}
        self._pressures: dict[ServiceName, Pressure] = {}

    def configure(self, services: Mapping[ServiceName, Service]) -> None:
        """Apply the services of a new bundle."""
        hedged = {
            name: service.hedge_extra_pct / 100
            for name, service in services.items()
            if service.hedge_extra_pct
        }
        for name, share in hedged.items():
            fresh = RetryBudget(share, saved=0, saved_limit=SAVED_LIMIT)
            self._allowances.setdefault(name, fresh).share = share
            self._pressures.setdefault(name, Pressure())
        for dropped in self._allowances.keys() - hedged.keys():
            self._allowances.pop(dropped)
            self._pressures.pop(dropped)
        for key in tuple(self._times):
            if key[0] not in hedged:
                self._times.pop(key)

    def earn(self, service: ServiceName) -> None:
        """Count a request of a service."""
        allowance = self._allowances.get(service)
        if allowance is not None:
            allowance.earn()

    def covers(self, pending: PendingRequest) -> bool:
        """Return whether second attempts of a request have a limit."""
        return pending.route.service in self._allowances

    def start(
        self,
        pending: PendingRequest,
        rule: timedelta,
        budget: RetryBudget,
        now: timedelta,
    ) -> bool:
        """Return whether a second attempt starts, and take its amounts.

        Exactly one attempt of the idempotent request runs. ``rule`` is the
        age at which it is slow by its expected time.
        """
        if now < pending.hedge_again_at:
            return False
        service = pending.route.service
        attempt = next(iter(pending.attempts.values()))
        allowance = self._allowances[service]
        delay = self._delay(pending, attempt, rule)
        verdict = decide(
            Situation(
                age=now - attempt.sent_at,
                delay=delay.after,
                left=pending.deadline - now,
                usual=ms(pending.usual_ms),
                overloaded=self._pressures[service].is_high(now),
                within_limit=allowance.saved >= 1,
                has_spare_retry=budget.has_spare,
            )
        )
        if verdict is Verdict.limit:
            self._note_limited(pending)
        if verdict is not Verdict.start:
            return False
        allowance.spend()
        budget.spend_spare()
        self._outbox.emit(_started_record(pending, attempt, delay, now))
        return True

    def give_up(
        self, pending: PendingRequest, budget: RetryBudget, now: timedelta
    ) -> None:
        """Return the amounts of a second attempt that found no place."""
        pending.hedged = False
        pending.retries -= 1
        pending.hedge_again_at = now + GIVE_UP_FOR
        budget.add(1)
        allowance = self._allowances.get(pending.route.service)
        if allowance is not None:
            allowance.add(1)
        self._outbox.emit(
            Record(
                'second-attempt-given-up',
                {'request': pending.tag, 'exchange': pending.exchange},
                detail=True,
                counter='second_attempts_given_up_total',
            )
        )

    def refused(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        message: Refusal,
        now: timedelta,
    ) -> bool:
        """Note a refusal of an attempt, which has ended.

        Returns whether it is a second attempt that is offered to another
        upstream: it has not run, and the first attempt still does.
        """
        pressure = self._pressures.get(pending.route.service)
        if pressure is not None:
            pressure.count_refused(message.reason, now)
        if not attempt.hedge or not pending.seeks_hedge:
            return False
        if message.reason is Reason.upstream_failed:
            # It has called the upstream, which counts as an attempt.
            return False
        return message.outcome is Outcome.not_run

    def succeeded(
        self, pending: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        """Note the attempt that answers a request.

        Those that still run are cancelled; their age is less than their time,
        but above the percentile at which the second attempt started.
        """
        if not self.covers(pending):
            return
        self._pressures[pending.route.service].count_answered(now)
        if not attempt.hedge:
            self._observe(pending, (attempt,), now)
            return
        self._observe(pending, pending.attempts.values(), now)
        self._outbox.emit(
            Record(
                'second-attempt-won',
                {
                    'request': pending.tag,
                    'exchange': pending.exchange,
                    'attempt': attempt.request,
                    'took_ms': in_ms(now - attempt.sent_at),
                },
                detail=True,
                counter='second_attempts_won_total',
            )
        )

    def expired(self, pending: PendingRequest, now: timedelta) -> None:
        """Note the attempts that run at the deadline of their request."""
        if self.covers(pending):
            self._observe(pending, pending.attempts.values(), now)

    def _observe(
        self,
        pending: PendingRequest,
        attempts: Iterable[Attempt],
        now: timedelta,
    ) -> None:
        key = pending.route.service, pending.route.name
        if key not in self._times and len(self._times) >= ROUTE_LIMIT:
            return
        times = self._times.setdefault(key, ObservedTimes())
        for attempt in attempts:
            if not attempt.hedge:
                times.add(in_ms(now - attempt.sent_at))

    def _delay(
        self, pending: PendingRequest, attempt: Attempt, rule: timedelta
    ) -> Delay:
        route = pending.route
        times = self._times.get((route.service, route.name))
        saved = self._allowances[route.service].saved
        spare_share = (saved - RESERVED) / (AMPLE - RESERVED)
        percentile = percentile_for(
            pending.service.hedge_extra_pct, min(max(spare_share, 0), 1)
        )
        observed_ms = times.percentile_ms(percentile) if times else 0
        return delay_of(observed_ms, rule, ms(attempt.queue_ms * QUEUE_FACTOR))

    def _note_limited(self, pending: PendingRequest) -> None:
        """Record once for each request that the limit is used up."""
        if pending.hedge_limited:
            return
        pending.hedge_limited = True
        self._outbox.emit(
            Record(
                'second-attempt-limited',
                {'request': pending.tag, 'exchange': pending.exchange},
                detail=True,
                counter='second_attempts_limited_total',
            )
        )


def _started_record(
    pending: PendingRequest, attempt: Attempt, delay: Delay, now: timedelta
) -> Record:
    return Record(
        'second-attempt',
        {
            'request': pending.tag,
            'exchange': pending.exchange,
            'attempt': attempt.request,
            'upstream': attempt.candidate.upstream,
            'service': pending.route.service,
            'route': pending.route.name,
            'delay_ms': in_ms(delay.after),
            'reason': delay.basis.value,
            'age_ms': in_ms(now - attempt.sent_at),
            'left_ms': in_ms(pending.deadline - now),
        },
        detail=True,
        counter='second_attempts_total',
    )
