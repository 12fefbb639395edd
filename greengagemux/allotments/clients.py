"""Requests of accounts with a limited rate, from their arrival to a token."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from ..bundles import Bundle
from ..clocks import ZERO
from ..effects import Outbox, Record, Send
from ..ids import CallerName, DaemonId, ExchangeId, StreamId
from ..messages import MemberRecord
from ..paths import Paths, PathState
from ..requests import PendingRequest
from .buckets import Limit, Tolerance
from .messages import Decision, TokenReply, TokenRequest
from .owners import OwnedAllotments
from .shares import LocalShares
from .verdicts import Verdict
from .views import MemberView

#: A request that the owner has not decided on after this time is decided by
#: the local share.
REPLY_LIMIT: Final = timedelta(milliseconds=150)
#: Interval at which the members that can be reached are counted.
REACH_INTERVAL: Final = timedelta(milliseconds=500)
#: Minimum time between two log lines about the refusals of an account.
SUMMARY_INTERVAL: Final = timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request without a token; it is held while ``due`` is None."""

    pending: PendingRequest
    account: CallerName
    owner: DaemonId | None = None
    due: timedelta | None = None
    sent: bool = False


@dataclass(slots=True)
class _Refusals:
    """Refusals of an account since the last log line about them."""

    requests: int = 0
    by_share: int = 0
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
        self._paths = paths
        self._outbox = outbox
        self._view = MemberView(own.daemon)
        self._owned = OwnedAllotments(self._view, tolerance)
        self._shares = LocalShares(self._view)
        self._waiting: dict[ExchangeId, _Waiting] = {}
        self._refusals: dict[CallerName, _Refusals] = {}
        self._reach_due = ZERO
        self._summary_due = ZERO
        #: Decisions that have not been applied yet.
        self.verdicts: list[Verdict] = []
        #: Decisions on requests that entered here, by decision and by whether
        #: the owner or the local share made them.
        self.counts: Counter[tuple[str, str]] = Counter()

    @property
    def owned_count(self) -> int:
        """Number of accounts with a bucket at this daemon."""
        return len(self._owned)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a token."""
        return len(self._waiting)

    def configure(self, bundle: Bundle, now: timedelta) -> None:
        """Apply the limits of a new bundle."""
        limits = {
            name: Limit(caller.rate_per_s, caller.burst)
            for name, caller in bundle.callers.items()
            if caller.rate_per_s
        }
        self._owned.configure(limits, now)
        self._shares.configure(limits, now)

    def members_changed(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Apply the live members."""
        if self._view.update(live, now):
            self._owned.members_changed(now)

    def ask(self, pending: PendingRequest, now: timedelta) -> None:
        """Begin to decide on a request; ``verdicts`` gets the decision."""
        waiting = _Waiting(pending, pending.caller.name)
        self._waiting[pending.exchange] = waiting
        if self._view.joined_at is not None:
            self._begin(waiting, now)

    def requested(
        self, stream: StreamId, message: TokenRequest, now: timedelta
    ) -> None:
        """Decide on a request of another ingress."""
        decision, wait_ms = self._owned.decide(message.account, now)
        reply = TokenReply(message.exchange, decision, wait_ms)
        self._outbox.emit(Send(stream, reply))

    def replied(
        self, daemon: DaemonId, message: TokenReply, now: timedelta
    ) -> None:
        """Apply the reply of an owner, unless it comes too late."""
        waiting = self._waiting.get(message.exchange)
        if waiting is None or waiting.owner != daemon:
            return
        self._decided(waiting, message.decision, message.wait_ms, now)

    def path_opened(self, daemon: DaemonId, now: timedelta) -> None:
        """Ask a peer on its new stream for what it has not been asked."""
        for waiting in tuple(self._waiting.values()):
            if waiting.owner == daemon and not waiting.sent:
                self._send(waiting, daemon, now)

    def tick(self, now: timedelta) -> None:
        """Decide on requests that have waited too long, and log refusals."""
        self._view.tick(now)
        if now >= self._reach_due:
            self._reach_due = now + REACH_INTERVAL
            self._owned.reach(self._reachable() / self._view.size, now)
        for waiting in tuple(self._waiting.values()):
            with self._outbox.contain('allotment'):
                self._check(waiting, now)
        if now >= self._summary_due and self._refusals:
            self._summary_due = now + SUMMARY_INTERVAL
            self._log_refusals()

    def _check(self, waiting: _Waiting, now: timedelta) -> None:
        if waiting.pending.done:
            self._waiting.pop(waiting.pending.exchange)
        elif waiting.due is None:
            if self._view.joined_at is not None:
                self._begin(waiting, now)
        elif waiting.due <= now:
            self._decide_by_share(waiting, now)

    def _begin(self, waiting: _Waiting, now: timedelta) -> None:
        owner = self._view.owner(waiting.account)
        waiting.owner = owner
        waiting.due = now + REPLY_LIMIT
        if owner == self._own:
            decision, wait_ms = self._owned.decide(waiting.account, now)
            self._decided(waiting, decision, wait_ms, now)
            return
        if owner is None or self._has_failed(owner):
            self._decide_by_share(waiting, now)
            return
        self._send(waiting, owner, now)

    def _send(self, waiting: _Waiting, owner: DaemonId, now: timedelta) -> None:
        request = TokenRequest(waiting.pending.exchange, waiting.account)
        waiting.sent = self._paths.send(owner, request)
        path = self._paths.by_daemon.get(owner)
        if path is not None:
            # A path that is in use is checked, so that a cut is noticed.
            path.used_at = now
        record = self._view.live.get(owner)
        if not waiting.sent and record is not None:
            self._paths.want(owner, record.peer_address, now)

    def _has_failed(self, daemon: DaemonId) -> bool:
        path = self._paths.by_daemon.get(daemon)
        return path is not None and path.state is PathState.failed

    def _reachable(self) -> int:
        """Return the number of live members without a failed path."""
        return sum(not self._has_failed(daemon) for daemon in self._view.live)

    def _decided(
        self,
        waiting: _Waiting,
        decision: Decision,
        wait_ms: int,
        now: timedelta,
    ) -> None:
        if decision is Decision.not_owner:
            self._decide_by_share(waiting, now)
            return
        self._shares.observe(waiting.account, decision, now)
        self._end(waiting, decision, wait_ms, by_share=False)

    def _decide_by_share(self, waiting: _Waiting, now: timedelta) -> None:
        decision, wait_ms = self._shares.decide(waiting.account, now)
        self._end(waiting, decision, wait_ms, by_share=True)

    def _end(
        self,
        waiting: _Waiting,
        decision: Decision,
        wait_ms: int,
        *,
        by_share: bool,
    ) -> None:
        pending = waiting.pending
        self._waiting.pop(pending.exchange)
        decided_by = 'share' if by_share else 'owner'
        self.counts[(decision.value, decided_by)] += 1
        granted = decision is Decision.granted
        self.verdicts.append(Verdict(pending, granted, wait_ms))
        if granted:
            self._outbox.emit(
                Record(
                    'allotment-granted',
                    {
                        'request': pending.tag,
                        'exchange': pending.exchange,
                        'account': waiting.account,
                        'owner': waiting.owner,
                        'decided_by': decided_by,
                    },
                    detail=True,
                )
            )
            return
        refusals = self._refusals.setdefault(waiting.account, _Refusals())
        refusals.requests += 1
        refusals.by_share += by_share
        refusals.wait_ms = wait_ms

    def _log_refusals(self) -> None:
        for account, refusals in self._refusals.items():
            self._outbox.emit(
                Record(
                    'allotment-refused',
                    {
                        'account': account,
                        'requests': refusals.requests,
                        'by_share': refusals.by_share,
                        'wait_ms': refusals.wait_ms,
                        'owner': self._view.owner(account),
                    },
                )
            )
        self._refusals.clear()
