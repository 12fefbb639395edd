"""Crashes of upstreams beside this daemon and what is told of them."""

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from random import Random

from .selection import Nearness, UsableView
from .poisonrequests import PoisonRequests
from .effects import Outbox, Record, Send
from .ids import DaemonId, Region, ServiceName, StreamId
from .messages import MemberRecord, Suspects
from .paths import Paths

#: Calls that are reset this soon after one another belong to one crash.
CRASH_WINDOW = timedelta(milliseconds=100)
#: Peers that are told what was new, besides the daemons of the service.
GOSSIP_PEERS = 3


class CrashReports:
    """Spreads suspicion to the daemons that could run the request next."""

    def __init__(
        self,
        poison_requests: PoisonRequests,
        paths: Paths,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        """Report through the streams of ``paths``."""
        self.poison_requests = poison_requests
        self._paths = paths
        self._outbox = outbox
        self._rng = rng
        self._peers: Collection[DaemonId] = ()
        self._views: Mapping[ServiceName, UsableView] = {}
        #: Whether other regions are told; each convicts by its own crashes
        #: where the bytes between them are dear.
        self.far = True

    def configure(
        self,
        members: Mapping[DaemonId, MemberRecord],
        region: Region,
        views: Mapping[ServiceName, UsableView],
    ) -> None:
        """Take over who the members are and where services run."""
        self._peers = [
            daemon
            for daemon, record in members.items()
            if self.far or record.region == region
        ]
        self._views = views

    def crashed(
        self,
        service: ServiceName,
        in_flight: Iterable[int],
        waiting: Iterable[StreamId | None],
        now: timedelta,
    ) -> None:
        """Suspect the requests in flight at a crash and tell others.

        The entrances in ``waiting`` are told on the stream on which their
        refusal follows, so that they know before they retry.
        """
        told = self.poison_requests.crashed(in_flight, now)
        self._outbox.emit(
            Record(
                'upstream-crashed',
                {
                    'service': service,
                    'suspects': [
                        f'{entry.fingerprint:016x}' for entry in told.entries
                    ],
                },
            )
        )
        for stream in set(waiting):
            if stream is not None:
                self._outbox.emit(Send(stream, told))
        self.tell(service, told)

    def tell(self, service: ServiceName, told: Suspects) -> None:
        """Tell the daemons beside upstreams of a service, and a few more."""
        if not told.entries:
            return
        view = self._views.get(service)
        nearby: set[DaemonId] = set()
        if view is not None:
            nearby.update(
                each.daemon
                for each in view.candidates.values()
                if self.far or each.nearness <= Nearness.same_region
            )
        for daemon in sorted(nearby):
            self._paths.send(daemon, told)
        self._gossip(told)

    def received(self, message: Suspects, now: timedelta) -> None:
        """Take over what a peer tells and pass on what was new."""
        fresh = self.poison_requests.merge(message, now)
        if fresh.entries:
            self._gossip(fresh)

    def connected(self, stream: StreamId, now: timedelta) -> None:
        """Tell a peer on a new stream all that is known."""
        known = self.poison_requests.snapshot(now)
        if known.entries:
            self._outbox.emit(Send(stream, known))

    def _gossip(self, told: Suspects) -> None:
        peers = [
            daemon for daemon in self._peers if self._paths.connected(daemon)
        ]
        count = min(GOSSIP_PEERS, len(peers))
        for daemon in self._rng.sample(peers, count):
            self._paths.send(daemon, told)
