"""Requests of accounts with a limited rate, from their arrival to a token."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final

from ..bundles import Bundle
from ..clocks import ZERO
from ..effects import Outbox, Record, Send
from ..ids import CallerName, DaemonId, ExchangeId, StreamId
from ..membertables import HEARTBEAT_EXPIRY
from ..messages import MemberRecord
from ..paths import Path, Paths, PathState
from ..requests import PendingRequest
from .buckets import Limit, Tolerance
from .messages import Decision, TokenReply, TokenRequest
from .owners import OwnedAllotments, TokenDecision
from .shares import LocalShares
from .verdicts import Verdict
from .views import MemberView

#: A request that a daemon has not decided on after this time goes to the next.
REPLY_LIMIT: Final = timedelta(milliseconds=150)
#: Daemons that are asked before the local share decides.
ASK_LIMIT: Final = 5
#: A daemon that has not replied in time is not asked for this long.
SILENT_TIME: Final = timedelta(seconds=2)
#: A pause of the process after which others may have taken it for lost and
#: owned its accounts: half of the time in which a heartbeat expires.
LONG_PAUSE: Final = HEARTBEAT_EXPIRY / 2
#: Interval at which the members that can be reached are counted.
REACH_INTERVAL: Final = timedelta(milliseconds=500)
#: Minimum time between two log lines about the refusals of an account.
SUMMARY_INTERVAL: Final = timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request without a token; it is held while ``due`` is None."""

    pending: PendingRequest
    account: CallerName
    due: timedelta | None = None
    #: Daemons that were asked and have not decided; the first reply counts.
    asked: list[DaemonId] = field(default_factory=list)
    sent: bool = False


@dataclass(slots=True)
class _Refusals:
    """Refusals of an account since the last log line about them."""

    requests: int = 0
    by_owner: int = 0
    wait_ms: int = 0


class Allotments:
    """Decides on requests of limited accounts, here or by their owners."""

    def __init__(
        self,
        own: MemberRecord,
        paths: Paths,
        outbox: Outbox,
        tolerance: Tolerance,
    ) -> None:
        """Start without limits."""
        self._own = own.daemon
        self._region = own.region
        self._paths = paths
        self._outbox = outbox
        self._view = MemberView(own.daemon)
        self._owned = OwnedAllotments(self._view, tolerance)
        self._shares = LocalShares(self._view)
        self._silent_until: dict[DaemonId, timedelta] = {}
        self._waiting: dict[ExchangeId, _Waiting] = {}
        self._refusals: dict[CallerName, _Refusals] = {}
        self._active_at = ZERO
        self._reach_due = ZERO
        self._summary_due = ZERO
        #: Decisions that have not been applied yet.
        self.verdicts: list[Verdict] = []
        self._counts: Counter[tuple[str, str]] = Counter()

    @property
    def owned_count(self) -> int:
        """Number of accounts with a bucket at this daemon."""
        return len(self._owned)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a token."""
        return len(self._waiting)

    def take_counts(self) -> Counter[tuple[str, str]]:
        """Return the decisions since the last call.

        The key is the decision, and whether the owner, a pool or the local
        share made it.
        """
        counts = self._counts
        self._counts = Counter()
        return counts

    def configure(self, bundle: Bundle, now: timedelta) -> None:
        """Apply the limits of a new bundle."""
        limits = {
            name: Limit(caller.rate_per_s, caller.burst)
            for name, caller in bundle.callers.items()
            if caller.rate_per_s
        }
        self._view.keep(limits)
        self._owned.configure(limits, now)
        self._shares.configure(limits, now)

    def members_changed(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Apply the live members."""
        if self._view.update(live, now):
            self._owned.members_changed(now)
        for daemon in tuple(self._silent_until):
            if daemon not in live:
                self._silent_until.pop(daemon)

    def ask(self, pending: PendingRequest, now: timedelta) -> None:
        """Begin to decide on a request; ``verdicts`` gets the decision."""
        self._notice(now)
        waiting = _Waiting(pending, pending.caller.name)
        self._waiting[pending.exchange] = waiting
        if self._view.joined_at is not None:
            self._begin(waiting, now)

    def requested(
        self,
        sender: DaemonId,
        stream: StreamId,
        message: TokenRequest,
        now: timedelta,
    ) -> None:
        """Decide on a request of another ingress."""
        self._notice(now)
        found = self._owned.decide(message.account, sender, now)
        reply = TokenReply(
            message.exchange, found.decision, found.wait_ms, found.pooled
        )
        self._outbox.emit(Send(stream, reply))

    def replied(
        self, daemon: DaemonId, message: TokenReply, now: timedelta
    ) -> None:
        """Apply the reply of a daemon, unless it comes too late."""
        self._silent_until.pop(daemon, None)
        waiting = self._waiting.get(message.exchange)
        if waiting is None or daemon not in waiting.asked:
            return
        if message.decision is Decision.unable and daemon != waiting.asked[-1]:
            return
        found = TokenDecision(message.decision, message.wait_ms, message.pooled)
        self._decided(waiting, found, now)

    def path_opened(self, daemon: DaemonId, now: timedelta) -> None:
        """Ask a peer on its new stream for what it has not been asked."""
        self._silent_until.pop(daemon, None)
        for waiting in tuple(self._waiting.values()):
            if waiting.asked[-1:] == [daemon] and not waiting.sent:
                self._send(waiting, daemon, now)

    def tick(self, now: timedelta) -> None:
        """Decide on requests that have waited too long, and log refusals."""
        self._notice(now)
        self._view.tick(now)
        if now >= self._reach_due:
            self._reach_due = now + REACH_INTERVAL
            self._count_reachable(now)
        for waiting in tuple(self._waiting.values()):
            with self._outbox.contain('allotment'):
                self._check(waiting, now)
        if now >= self._summary_due and self._refusals:
            self._summary_due = now + SUMMARY_INTERVAL
            self._log_refusals()

    def _notice(self, now: timedelta) -> None:
        """Note that the process runs, and whether it was paused before."""
        if now - self._active_at >= LONG_PAUSE:
            self._owned.resumed(now)
        self._active_at = now

    def _check(self, waiting: _Waiting, now: timedelta) -> None:
        if waiting.pending.done:
            self._waiting.pop(waiting.pending.exchange)
        elif waiting.due is None:
            if self._view.joined_at is not None:
                self._begin(waiting, now)
        elif waiting.due <= now:
            self._silent_until[waiting.asked[-1]] = now + SILENT_TIME
            self._begin(waiting, now)

    def _begin(self, waiting: _Waiting, now: timedelta) -> None:
        """Ask the owner, or the next daemon of its order that can be asked."""
        daemon = self._choose(waiting, now)
        if daemon is None:
            share = self._shares.decide(waiting.account, now)
            self._end(waiting, share, 'share')
            return
        waiting.asked.append(daemon)
        waiting.due = now + REPLY_LIMIT
        if daemon == self._own:
            found = self._owned.decide(waiting.account, self._own, now)
            self._decided(waiting, found, now)
            return
        self._send(waiting, daemon, now)

    def _choose(self, waiting: _Waiting, now: timedelta) -> DaemonId | None:
        """Return the daemon to ask, None if the local share decides."""
        if len(waiting.asked) >= ASK_LIMIT:
            return None
        owner = self._view.owner(waiting.account)
        if owner is None or self._may_ask(waiting, owner, now):
            return owner
        for daemon in self._view.order(waiting.account):
            if self._may_ask(waiting, daemon, now):
                return daemon
        return None

    def _may_ask(
        self, waiting: _Waiting, daemon: DaemonId, now: timedelta
    ) -> bool:
        if daemon in waiting.asked or self._has_failed(daemon):
            return False
        return self._silent_until.get(daemon, now) <= now

    def _send(
        self, waiting: _Waiting, daemon: DaemonId, now: timedelta
    ) -> None:
        request = TokenRequest(waiting.pending.exchange, waiting.account)
        waiting.sent = self._paths.send(daemon, request)
        path = self._paths.by_daemon.get(daemon)
        if path is not None:
            # A path that is in use is checked, so that a cut is noticed.
            path.used_at = now
        record = self._view.live.get(daemon)
        if not waiting.sent and record is not None:
            self._paths.want(daemon, record.peer_address, now)

    def _has_failed(self, daemon: DaemonId) -> bool:
        path = self._paths.by_daemon.get(daemon)
        return path is not None and path.state is PathState.failed

    def _count_reachable(self, now: timedelta) -> None:
        """Count the live members that need no share of their own."""
        if self._owned.exhausted:
            self._owned.exhausted = False
            self._check_paths(now)
        failed = [
            path
            for path in self._paths.by_daemon.values()
            if path.state is PathState.failed and self._may_grant(path)
        ]
        ended = frozenset(path.daemon for path in failed if path.refused)
        share = (len(self._view.live) - len(failed)) / self._view.size
        self._owned.reach(share, ended, now)

    def _may_grant(self, path: Path) -> bool:
        """Return whether a peer that cannot be reached may use its share.

        A daemon that was leaving and refuses connections has ended. It stays
        among the live members until its heartbeat expires.
        """
        record = self._view.live.get(path.daemon)
        if record is None:
            return False
        return not (record.leaving and path.refused)

    def _check_paths(self, now: timedelta) -> None:
        """Let the paths to the members of the region be checked for silence.

        An owner may have no other use for them, and members that it cannot
        reach use their own shares of a rate that it would grant in full.
        """
        for daemon, record in self._view.live.items():
            if daemon != self._own and record.region == self._region:
                path = self._paths.want(daemon, record.peer_address, now)
                path.used_at = now

    def _decided(
        self, waiting: _Waiting, found: TokenDecision, now: timedelta
    ) -> None:
        if found.decision is Decision.unable:
            self._begin(waiting, now)
            return
        self._shares.observe(waiting.account, found.decision, now)
        self._end(waiting, found, 'pool' if found.pooled else 'owner')

    def _end(
        self, waiting: _Waiting, found: TokenDecision, decided_by: str
    ) -> None:
        pending = waiting.pending
        self._waiting.pop(pending.exchange)
        self._counts[(found.decision.value, decided_by)] += 1
        granted = found.decision is Decision.granted
        self.verdicts.append(Verdict(pending, granted, found.wait_ms))
        if granted:
            self._outbox.emit(
                Record(
                    'allotment-granted',
                    {
                        'request': pending.tag,
                        'exchange': pending.exchange,
                        'account': waiting.account,
                        'asked': waiting.asked,
                        'decided_by': decided_by,
                    },
                    detail=True,
                )
            )
            return
        refusals = self._refusals.setdefault(waiting.account, _Refusals())
        refusals.requests += 1
        refusals.by_owner += decided_by == 'owner'
        refusals.wait_ms = found.wait_ms

    def _log_refusals(self) -> None:
        for account, refusals in self._refusals.items():
            self._outbox.emit(
                Record(
                    'allotment-refused',
                    {
                        'account': account,
                        'requests': refusals.requests,
                        'by_owner': refusals.by_owner,
                        'wait_ms': refusals.wait_ms,
                        'owner': self._view.owner(account),
                    },
                )
            )
        self._refusals.clear()
