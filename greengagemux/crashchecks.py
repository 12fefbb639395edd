"""Tells the end of an upstream's process from the reset of a connection.

Gray upstreams reset connections too, and only the end of the process makes
the requests in flight suspect. After a reset a new connection to the upstream
is attempted; if it is refused, the process has ended. Until then the refusals
of the requests in flight are held, so that the report of the crash reaches
each ingress before it retries.

An upstream may go on with a call whose connection was closed by this daemon,
and crash by it. Calls aborted a short time before a crash are therefore
suspects, too.
"""

from dataclasses import dataclass
from datetime import timedelta

from .clocks import ms
from .crashes import CrashReports, blocked_record, crash_record
from .effects import AbortCall, CheckListening, Outbox
from .ids import CallId
from .jobs import AbortedCall, Job, PossibleCrash, Upstream
from .messages import UpstreamState
from .poisonrequests import PoisonStatus

#: Resets within this time after a check count as those of the same fault.
CRASH_WINDOW = timedelta(milliseconds=100)
#: A refused connection within this time after a reset confirms a crash.
CONFIRMATION_WINDOW = timedelta(seconds=2)
#: A call aborted within this time before the end of the process was found is a
#: suspect. If nothing else ran, the end may show only when the upstream
#: announces its next start: up to 3 s for the start (docs/incidents/inc6) and
#: 1.5 s for the announcement. A longer window adds unrelated suspects.
ABORT_WINDOW = timedelta(seconds=5)
#: Longest time for which refusals are held.
HOLD_LIMIT = ms(100)


@dataclass(frozen=True, slots=True)
class CrashChecks:
    """Suspected crashes of the upstreams beside this daemon."""

    reports: CrashReports
    outbox: Outbox

    def reset(
        self, upstream: Upstream, job: Job, call: CallId, now: timedelta
    ) -> bool:
        """Suspect a crash after a connection was reset.

        Returns whether the refusal of the call is held until the end of the
        check.
        """
        crash = upstream.possible_crash
        if crash is not None and call in crash.calls and upstream.held:
            return True
        # An announced end of a process is no crash.
        draining = upstream.announced is UpstreamState.draining
        if draining or call in upstream.crashed_calls:
            return False
        affected = [job, *upstream.running.values()]
        crash = PossibleCrash(
            calls=frozenset((call, *upstream.running)),
            fingerprints=tuple(each.fingerprint for each in affected),
            streams=tuple(each.stream for each in affected),
            until=now + CONFIRMATION_WINDOW,
            hold_until=now + HOLD_LIMIT,
        )
        upstream.possible_crash = crash
        self.outbox.emit(crash_record('crash-suspected', upstream, crash))
        last = upstream.reset_checked_at
        if last is not None and now - last < CRASH_WINDOW:
            return False
        upstream.reset_checked_at = now
        self.outbox.emit(CheckListening(upstream.upstream, upstream.address))
        return True

    def abort(self, job: Job, call: CallId, now: timedelta) -> None:
        """Abort a call and keep it as a suspect of a crash that may follow."""
        self.outbox.emit(AbortCall(call))
        self.reports.poison_requests.finished(
            job.fingerprint, answered=False, now=now
        )
        # A call of the last crash must not count for a second one.
        if call not in job.upstream.crashed_calls:
            job.upstream.aborted.append(
                AbortedCall(job.fingerprint, job.stream, now)
            )

    def crashed(self, upstream: Upstream, now: timedelta) -> None:
        """Report the suspected crash: the process of an upstream has ended."""
        crash = upstream.possible_crash
        upstream.possible_crash = None
        if crash is not None and now >= crash.until:
            self.outbox.emit(crash_record('crash-unconfirmed', upstream, crash))
            crash = None
        if crash is None and upstream.running:
            # If the process has ended, the resets of these calls follow. A
            # report now would count the same crash twice.
            return
        aborted = _take_aborted(upstream, now)
        fingerprints = [each.fingerprint for each in aborted]
        streams = [each.stream for each in aborted]
        if crash is not None:
            upstream.crashed_calls = crash.calls
            fingerprints += crash.fingerprints
            streams += crash.streams
        if fingerprints:
            self.reports.crashed(upstream.service, fingerprints, streams, now)

    def isolate(self, upstream: Upstream, job: Job, now: timedelta) -> bool:
        """Queue a suspect for isolation; return whether it is one.

        The crash may have been reported after the request was queued.
        """
        status = self.reports.poison_requests.check(job.fingerprint, now)
        if status is PoisonStatus.clear:
            return False
        job.isolated = True
        upstream.isolation_queue.append(job)
        return True

    def take_blocked(self, upstream: Upstream, now: timedelta) -> list[Job]:
        """Remove the blocked requests from the isolation queue.

        They must not keep other requests waiting.
        """
        blocked = [
            job
            for job in upstream.isolation_queue
            if self.reports.poison_requests.check(job.fingerprint, now)
            is PoisonStatus.blocked
        ]
        for job in blocked:
            upstream.isolation_queue.remove(job)
            self.outbox.emit(blocked_record(job))
        return blocked


def _take_aborted(upstream: Upstream, now: timedelta) -> list[AbortedCall]:
    """Remove the aborted calls and return those that are suspects."""
    recent = [each for each in upstream.aborted if now - each.at < ABORT_WINDOW]
    upstream.aborted.clear()
    # An announced end of a process is no crash.
    return [] if upstream.announced is UpstreamState.draining else recent
