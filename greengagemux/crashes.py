"""Reports crashes of upstreams beside this daemon to other daemons."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from random import Random

from .clocks import ZERO
from .selection import Nearness, UsableView
from .poisonrequests import PoisonRequests
from .effects import Outbox, Record, Send
from .ids import DaemonId, Region, ServiceName, StreamId
from .jobs import Job, PossibleCrash, Upstream
from .messages import MemberRecord, Suspects
from .paths import Paths

#: Random peers of the region that get each update, besides the daemons beside
#: the service.
GOSSIP_PEERS = 3
#: Interval at which each daemon repeats the blocked requests to a peer.
REPEAT_INTERVAL = timedelta(seconds=1)
#: Daemons of each other region that get a report and pass it on there.
RELAYS = 2


class CrashReports:
    """Sends suspects to the daemons that could run the request next.

    All regions count crashes together, because upstreams of any region may
    run a request. Links between regions are paid by the byte, so a report
    crosses each of them for a few daemons only, which pass it on.
    """

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
        self._region = Region('')
        self._members: Mapping[DaemonId, MemberRecord] = {}
        self._views: Mapping[ServiceName, UsableView] = {}
        self._repeat_due = ZERO

    def configure(
        self,
        members: Mapping[DaemonId, MemberRecord],
        region: Region,
        views: Mapping[ServiceName, UsableView],
    ) -> None:
        """Apply the current members and the daemons beside each service."""
        self._region = region
        self._members = members
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
        self.send_report(service, report, now)

    def send_report(
        self, service: ServiceName, report: Suspects, now: timedelta
    ) -> None:
        """Send a report to the daemons beside a service and to other peers."""
        if not report.entries:
            return
        view = self._views.get(service)
        if view is not None:
            beside = {
                each.daemon
                for each in view.candidates.values()
                if each.nearness <= Nearness.same_region
            }
            for daemon in sorted(beside):
                self._paths.send(daemon, report)
        self._gossip(report)
        self._send_far(report, now)

    def received(
        self, message: Suspects, sender: DaemonId, now: timedelta
    ) -> None:
        """Merge the report of a peer and forward what was new."""
        changed = self.poison_requests.merge(message, now)
        if not changed.entries:
            return
        self._record_learned(changed, now)
        record = self._members.get(sender)
        if record is None or record.region == self._region:
            self._gossip(changed)
            return
        for daemon in self._connected(self._region):
            self._paths.send(daemon, changed)

    def tick(self, now: timedelta) -> None:
        """Repeat the blocked requests to a random peer.

        A daemon that was cut off may have missed the reports.
        """
        if now < self._repeat_due:
            return
        self._repeat_due = now + REPEAT_INTERVAL
        blocked = self.poison_requests.blocked(now)
        peers = [each for each in self._members if self._paths.connected(each)]
        if blocked.entries:
            self._send_some(peers, 1, blocked)

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
        self._send_some(self._connected(self._region), GOSSIP_PEERS, report)

    def _send_far(self, report: Suspects, now: timedelta) -> None:
        """Send a report to some daemons of each other region.

        Without a stream to one, a stream is opened, on which ``connected``
        sends all that is known.
        """
        regions = {record.region for record in self._members.values()}
        for region in sorted(regions - {self._region}):
            relays = self._connected(region)
            if relays:
                self._send_some(relays, RELAYS, report)
                continue
            listed = sorted(
                daemon
                for daemon, record in self._members.items()
                if record.region == region
            )
            daemon = self._rng.choice(listed)
            self._paths.want(daemon, self._members[daemon].peer_address, now)

    def _connected(self, region: Region) -> list[DaemonId]:
        return [
            daemon
            for daemon, record in self._members.items()
            if record.region == region and self._paths.connected(daemon)
        ]

    def _send_some(
        self, daemons: list[DaemonId], count: int, report: Suspects
    ) -> None:
        for daemon in self._rng.sample(daemons, min(count, len(daemons))):
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
