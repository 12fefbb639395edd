"""Reports crashes of upstreams beside this daemon to other daemons."""

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from random import Random

from .selection import Nearness, UsableView
from .poisonrequests import PoisonRequests
from .effects import Outbox, Record, Send
from .ids import DaemonId, Region, ServiceName, StreamId
from .jobs import Job, PossibleCrash, Upstream
from .messages import MemberRecord, Suspects
from .paths import Paths

#: Resets of calls to one upstream within this time count as one crash.
CRASH_WINDOW = timedelta(milliseconds=100)
#: Random peers that get each update, besides the daemons of the service.
GOSSIP_PEERS = 3


class CrashReports:
    """Sends suspects to the daemons that could run the request next."""

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
        #: Whether reports go to other regions. Without them each region blocks
        #: requests by its own crashes, which saves bandwidth between regions.
        self.across_regions = True

    def configure(
        self,
        members: Mapping[DaemonId, MemberRecord],
        region: Region,
        views: Mapping[ServiceName, UsableView],
    ) -> None:
        """Apply the current members and the daemons beside each service."""
        self._peers = [
            daemon
            for daemon, record in members.items()
            if self.across_regions or record.region == region
        ]
        self._views = views

    def crashed(
        self,
        service: ServiceName,
        in_flight: Iterable[int],
        ingress_streams: Iterable[StreamId | None],
        now: timedelta,
    ) -> None:
        """Suspect the requests in flight at a crash and report them.

        The report goes first to ``ingress_streams``, on which the refusals
        follow, so that it arrives before any retry starts.
        """
        report = self.poison_requests.crashed(in_flight, now)
        self._outbox.emit(
            Record(
                'upstream-crashed',
                {
                    'service': service,
                    'suspects': [
                        f'{entry.fingerprint:016x}' for entry in report.entries
                    ],
                },
            )
        )
        for stream in set(ingress_streams):
            if stream is not None:
                self._outbox.emit(Send(stream, report))
        self.send_report(service, report)

    def send_report(self, service: ServiceName, report: Suspects) -> None:
        """Send a report to the daemons beside a service and to random peers."""
        if not report.entries:
            return
        view = self._views.get(service)
        recipients: set[DaemonId] = set()
        if view is not None:
            recipients.update(
                each.daemon
                for each in view.candidates.values()
                if self.across_regions or each.nearness <= Nearness.same_region
            )
        for daemon in sorted(recipients):
            self._paths.send(daemon, report)
        self._gossip(report)

    def received(self, message: Suspects, now: timedelta) -> None:
        """Merge the report of a peer and forward what was new."""
        changed = self.poison_requests.merge(message, now)
        if changed.entries:
            self._record_learned(changed, now)
            self._gossip(changed)

    def connected(self, stream: StreamId, now: timedelta) -> None:
        """Send all known suspects to a peer on a new stream."""
        known = self.poison_requests.snapshot(now)
        if known.entries:
            self._outbox.emit(Send(stream, known))

    def _record_learned(self, changed: Suspects, now: timedelta) -> None:
        known = {
            f'{entry.fingerprint:016x}': self.poison_requests.check(
                entry.fingerprint, now
            ).value
            for entry in changed.entries
        }
        self._outbox.emit(Record('suspects-learned', {'requests': known}))

    def _gossip(self, report: Suspects) -> None:
        peers = [
            daemon for daemon in self._peers if self._paths.connected(daemon)
        ]
        count = min(GOSSIP_PEERS, len(peers))
        for daemon in self._rng.sample(peers, count):
            self._paths.send(daemon, report)


def crash_record(name: str, upstream: Upstream, crash: PossibleCrash) -> Record:
    """Return the log record of a suspected crash."""
    fields = {
        'upstream': upstream.upstream,
        'in_flight': [f'{each:016x}' for each in crash.fingerprints],
    }
    return Record(name, fields)


def blocked_record(job: Job) -> Record:
    """Return the log record of a request that is refused as blocked."""
    fields = {
        'request': job.identity.decode(),
        'tag': job.dispatch.tag,
        'upstream': job.dispatch.upstream,
        'fingerprint': f'{job.fingerprint:016x}',
    }
    return Record('request-blocked', fields, detail=True)
