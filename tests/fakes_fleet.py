"""Fleet simulator: real reducers with a fake network, upstreams and log.

Streams keep order and lose nothing while they are open, as TCP does. A cut
delays messages; they arrive late if the cut heals before the stream closes.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from greengagemux import events
from greengagemux.bundles import parse
from greengagemux.clocks import ManualClock, ms
from greengagemux.effects import (
    AbortCall,
    AppendLog,
    CallUpstream,
    CheckListening,
    CloseStream,
    Continue,
    Effect,
    OpenStream,
    ProbeUpstream,
    ReadLog,
    Record,
    Respond,
    Send,
    raise_failures,
)
from greengagemux.ids import (
    CallId,
    DaemonId,
    DataCentre,
    ExchangeId,
    Incarnation,
    LogOffset,
    Region,
    ServiceName,
    StreamId,
    UpstreamId,
)
from greengagemux.messages import (
    PROTOCOL_VERSION,
    Hello,
    MemberRecord,
    Message,
    UpstreamState,
)
from greengagemux.outcomes import Failure, Step
from greengagemux.reducers import TICK, Daemon, DaemonOptions, reduce
from greengagemux.rollouts import Rollout
from greengagemux.signatures import keygen, sign
from greengagemux.writes import LeaseTimings

STREAM_LATENCY = ms(1)
CONNECT_TIMEOUT = ms(1000)
ANNOUNCE_INTERVAL = ms(1000)
OPERATOR = 'alice'
#: Limits of keyed writes, with a key window shorter than a history.
TERMS = LeaseTimings(key_window=ms(8000), forward_limit=ms(2000))
PRIVATE_KEY, PUBLIC_KEY = keygen()

BUNDLE = """
[bundle]
version = 1
follows = 0
[service ledger]
floor_pct = 50
[route stock]
service = ledger
prefix = /stock/
methods = GET
idempotent = yes
priority = waiting
deadline_ms = 2000
echo_header = X-Request-Tag
[route intake]
service = ledger
prefix = /intake/
methods = POST
deadline_ms = 2000
echo_header = X-Request-Tag
[caller anonymous]
max_in_flight = 1000
routes = stock, intake
"""
parse(BUNDLE, 'test bundle')


def apply(daemon: Daemon, event: events.Event, now: timedelta) -> list[Effect]:
    """Apply an event; raise what a step of it has raised."""
    effects = reduce(daemon, event, now)
    raise_failures(effects)
    return effects


@dataclass
class FakeUpstream:
    """An upstream that records the tags of the requests it runs.

    A request takes ``service_ms``, unless ``path_ms`` has a time for the start
    of its path. Its responses state ``rate_limit_per_s`` and ``leaving``. With ``wrong`` it
    answers as if to another request. A request whose tag
    starts with ``crash_prefix`` ends its process.
    """

    name: str
    service: ServiceName = ServiceName('ledger')
    service_ms: float = 5
    path_ms: dict[bytes, float] = field(default_factory=dict)
    slots: int = 4
    hang: bool = False
    status: int = 200
    wrong: bool = False
    dead: bool = False
    draining: bool = False
    rate_limit_per_s: float | None = None
    leaving: bool = False
    boot: int = 0
    crash_prefix: bytes = b'\x00'
    drains: list[tuple[timedelta, timedelta | None]] = field(
        default_factory=list
    )
    runs: list[bytes] = field(default_factory=list)
    started: list[timedelta] = field(default_factory=list)


@dataclass
class SentRequest:
    """A caller's request and the process it was sent to.

    ``paused`` means that the process was paused while the request was pending.
    """

    tag: bytes
    at: timedelta
    node: str
    incarnation: Incarnation
    paused: bool = False


@dataclass
class StreamEnd:
    """One end of a stream; ``other`` is the end at the peer.

    ``held`` are messages of this end that a cut or a stall delays.
    """

    node: 'Node'
    stream: StreamId
    other: 'StreamEnd | None' = None
    held: list[Message] = field(default_factory=list)
    stalled: bool = False
    closed: bool = False


class Node:
    """One daemon, which may be killed and restarted."""

    def __init__(self, fleet: 'FakeFleet', name: str, number: int) -> None:
        self.fleet = fleet
        self.name = name
        self.number = number
        self.upstreams: dict[str, FakeUpstream] = {}
        self.alive = False
        self.paused = False
        self.backlog: list[events.Event] = []
        self.records: list[Record] = []
        self.start()

    def start(self) -> None:
        """Start a new process without any state of the previous one."""
        self.fleet.starts += 1
        self.incarnation = Incarnation(self.fleet.starts)
        place = self.number % self.fleet.data_centres
        data_centre = DataCentre(f'dc-{place}')
        own = MemberRecord(
            daemon=DaemonId(self.name),
            incarnation=self.incarnation,
            sequence=1,
            data_centre=data_centre,
            region=Region(f'region-{place // 2}'),
            peer_address=self.name,
        )
        seeds = tuple(f'd{number}' for number in range(self.fleet.size))
        rng = Random(f'{self.fleet.seed}/{self.name}/{self.incarnation}')
        rollout = Rollout({OPERATOR: PUBLIC_KEY}, own.daemon, data_centre)
        self.daemon = Daemon(
            DaemonOptions(own, seeds, ms(30_000)), rollout, rng
        )
        self.stream_ends: dict[StreamId, StreamEnd] = {}
        self.calls: dict[CallId, FakeUpstream] = {}
        self.streams = 0
        self.alive = True
        self.paused = False
        self.exited = False
        self.backlog = []

    def submit(self, event: events.Event) -> None:
        """Apply an event, or queue it while the process is paused.

        An event for a process that has ended is dropped.
        """
        if not self.alive:
            return
        if self.paused:
            self.backlog.append(event)
            return
        for effect in apply(self.daemon, event, self.fleet.now):
            self.fleet.carry_out(self, effect)

    def new_stream_end(self) -> StreamEnd:
        """Return a new stream end, not yet joined to a peer."""
        self.streams += 1
        stream_end = StreamEnd(self, StreamId(self.streams))
        self.stream_ends[stream_end.stream] = stream_end
        return stream_end

    def hello(self, number: int) -> Hello:
        """Return the handshake that this daemon sends on a new stream."""
        own = self.daemon.own
        return Hello(
            PROTOCOL_VERSION,
            own.daemon,
            own.data_centre,
            own.region,
            self.incarnation,
            number,
        )


class FakeFleet:
    """Daemons, their upstreams, the log and the callers."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        upstreams: int = 1,
        data_centres: int = 4,
    ) -> None:
        self.data_centres = data_centres
        self.seed = seed
        self.size = size
        self.clock = ManualClock()
        self.queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.order = 0
        self.starts = 0
        self.cuts: set[tuple[str, str]] = set()
        self.stalled: list[StreamEnd] = []
        self.log: list[bytes] = []
        #: Oldest offset that the log retains.
        self.log_first = 0
        self.log_down = False
        self.lose_append_replies = False
        self.answers: dict[int, Respond] = {}
        self.requests: dict[int, SentRequest] = {}
        self.deadline = ms(2000)
        self.run_times: dict[bytes, list[timedelta]] = {}
        self.bundles: dict[tuple[str, int], list[tuple[int, bytes]]] = {}
        self.answered_at: dict[int, timedelta] = {}
        self.exchanges = 0
        self.records: dict[str, list[Record]] = defaultdict(list)
        self.nodes = {
            f'd{number}': Node(self, f'd{number}', number)
            for number in range(size)
        }
        for node in self.nodes.values():
            for number in range(upstreams):
                name = f'{node.name}-u{number}'
                node.upstreams[name] = FakeUpstream(name)
            self.after(ms(node.number + 1), lambda node=node: self._tick(node))
            self.after(ms(1), lambda node=node: self._announce(node))

    @property
    def now(self) -> timedelta:
        """Simulated monotonic time, the same at all processes."""
        return self.clock.monotonic()

    @property
    def upstreams(self) -> list[FakeUpstream]:
        """The upstreams of all daemons."""
        return [
            upstream
            for node in self.nodes.values()
            for upstream in node.upstreams.values()
        ]

    def publish(self, text: str = BUNDLE) -> None:
        """Append a signed bundle to the log."""
        self.log.append(sign(text, OPERATOR, PRIVATE_KEY))

    def after(self, delay: timedelta, work: Callable[[], None]) -> None:
        """Schedule a call on the simulated clock."""
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, work))

    def run(self, duration_ms: float) -> None:
        """Let simulated time pass; do the work that falls due."""
        end = self.now + ms(duration_ms)
        while self.queue and self.queue[0][0] <= end:
            due, _order, work = heapq.heappop(self.queue)
            self.clock.advance(due - self.now)
            work()
        self.clock.advance(end - self.now)

    def ask(
        self, node: str, tag: bytes, path: bytes = b'/stock/1', **extra: bytes
    ) -> int:
        """Send a caller's request; return its exchange number.

        ``extra`` may hold the idempotency ``key`` and the ``body``.
        """
        self.exchanges += 1
        exchange = self.exchanges
        method = b'POST' if path.startswith(b'/intake') else b'GET'
        headers = [(b'X-Request-Tag', tag)]
        if 'key' in extra:
            headers.append((b'Idempotency-Key', extra['key']))
        target = self.nodes[node]
        self.requests[exchange] = SentRequest(
            tag, self.now, node, target.incarnation, target.paused
        )
        target.submit(
            events.CallerRequest(
                ExchangeId(exchange),
                method,
                path,
                tuple(headers),
                extra.get('body', b''),
            )
        )
        return exchange

    def outcome(self, exchange: int) -> str:
        """Return the outcome header of a response, empty without a response."""
        answer = self.answers.get(exchange)
        return _header(answer, b'Greengage-Outcome') if answer else ''

    def reason(self, exchange: int) -> str:
        """Return the reason header of a response, empty without the header."""
        return _header(self.answers[exchange], b'Greengage-Reason')

    def runs(self, tag: bytes) -> int:
        """Return how often upstreams ran the request with a tag."""
        return sum(upstream.runs.count(tag) for upstream in self.upstreams)

    def kill(self, name: str) -> None:
        """End a process at once; its streams are reset."""
        node = self.nodes[name]
        node.alive = False
        for stream_end in tuple(node.stream_ends.values()):
            self._close(stream_end, 'connection reset')
        node.stream_ends.clear()

    def pause(self, name: str) -> None:
        """Pause a process; its connections stay open."""
        node = self.nodes[name]
        node.paused = True
        for exchange, request in self.requests.items():
            if request.node == name and exchange not in self.answers:
                request.paused = True

    def resume(self, name: str) -> None:
        """Resume a paused process; it handles the events queued meanwhile."""
        node = self.nodes[name]
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            node.submit(event)

    def cut(self, sender: str, receiver: str) -> None:
        """Delay all messages from one daemon to another.

        Neither of the two can open a stream to the other meanwhile.
        """
        self.cuts.add((sender, receiver))

    def heal(self) -> None:
        """End all cuts; the delayed messages arrive late."""
        self.cuts.clear()
        for node in self.nodes.values():
            for stream_end in tuple(node.stream_ends.values()):
                held, stream_end.held = stream_end.held, []
                for message in held:
                    self._deliver(stream_end, message)

    def silence(self, first: str, second: str) -> None:
        """Lose all further messages on the open streams of two daemons."""
        for stream_end in tuple(self.nodes[first].stream_ends.values()):
            if (
                stream_end.other is not None
                and stream_end.other.node.name == second
            ):
                stream_end.other.other = None
                stream_end.other = None

    def stall(self, first: str, second: str) -> None:
        """Delay messages on the open streams to a peer; new streams work."""
        for stream_end in self.nodes[first].stream_ends.values():
            if (
                stream_end.other is not None
                and stream_end.other.node.name == second
            ):
                stream_end.stalled = True
                self.stalled.append(stream_end)

    def release(self) -> None:
        """End all stalls; the delayed messages arrive late."""
        stalled, self.stalled = self.stalled, []
        for stream_end in stalled:
            stream_end.stalled = False
            held, stream_end.held = stream_end.held, []
            for message in held:
                self._deliver(stream_end, message)
            if stream_end.closed:
                self._close(stream_end, 'closed by peer')

    def carry_out(self, node: Node, effect: Effect) -> None:
        """Carry out an effect that a reducer returned."""
        if isinstance(effect, Send):
            stream_end = node.stream_ends.get(effect.stream)
            if stream_end is not None:
                self._send(stream_end, effect.message)
        elif isinstance(effect, CallUpstream):
            self._call(node, effect)
        elif isinstance(effect, ProbeUpstream):
            self._probe(node, effect)
        elif isinstance(effect, CheckListening):
            refused = node.upstreams[effect.address].dead
            checked = events.ListeningChecked(effect.upstream, refused)
            self.after(ms(1), lambda: node.submit(checked))
        elif isinstance(effect, AbortCall):
            node.calls.pop(effect.call, None)
        elif isinstance(effect, Respond):
            self.answers[effect.exchange] = effect
            self.answered_at[effect.exchange] = self.now
        elif isinstance(effect, OpenStream):
            self._open(node, effect)
        elif isinstance(effect, CloseStream):
            stream_end = node.stream_ends.pop(effect.stream, None)
            if stream_end is not None:
                self._close(stream_end, 'closed by peer')
        elif isinstance(effect, ReadLog | AppendLog):
            self._access_log(node, effect)
        elif isinstance(effect, Record):
            self.records[node.name].append(effect)
            if effect.name == 'bundle-in-force':
                self._record_bundle(node)
        elif isinstance(effect, Continue):
            self.after(ms(0), lambda: node.submit(events.Advance()))
        elif type(effect).__name__ == 'Exit':
            node.exited = True
            self.kill(node.name)

    def _record_bundle(self, node: Node) -> None:
        accepted = node.daemon.distribution.rollout.accepted
        if accepted is not None:
            key = (node.name, node.incarnation)
            versions = self.bundles.setdefault(key, [])
            versions.append((accepted.version, accepted.signed.digest))

    def drain(self, upstream: FakeUpstream) -> None:
        """Let an upstream announce from now on that it drains."""
        upstream.draining = True
        upstream.drains.append((self.now, None))

    def cancel_drain(self, upstream: FakeUpstream) -> None:
        """Let a draining upstream serve again."""
        upstream.draining = False
        since, _until = upstream.drains[-1]
        upstream.drains[-1] = (since, self.now)

    def _send(self, stream_end: StreamEnd, message: Message) -> None:
        if stream_end.other is None:
            return
        link = (stream_end.node.name, stream_end.other.node.name)
        if stream_end.stalled or link in self.cuts:
            stream_end.held.append(message)
            return
        self._deliver(stream_end, message)

    def _deliver(self, stream_end: StreamEnd, message: Message) -> None:
        other = stream_end.other
        if other is None:
            return

        def arrive() -> None:
            if other.node.stream_ends.get(other.stream) is other:
                other.node.submit(events.PeerMessage(other.stream, message))

        self.after(STREAM_LATENCY, arrive)

    def _close(self, stream_end: StreamEnd, detail: str) -> None:
        if stream_end.stalled:
            stream_end.closed = True
            return
        other = stream_end.other
        stream_end.other = None
        if other is None:
            return
        if (stream_end.node.name, other.node.name) in self.cuts:
            return
        other.other = None

        def arrive() -> None:
            if other.node.stream_ends.pop(other.stream, None) is not None:
                failure = Failure(Step.connect, stream_end.node.name, detail)
                other.node.submit(events.StreamClosed(other.stream, failure))

        self.after(STREAM_LATENCY, arrive)

    def _open(self, node: Node, effect: OpenStream) -> None:
        target = self.nodes[effect.address]
        pair = {(node.name, target.name), (target.name, node.name)}
        if not target.alive or target.exited:
            self.after(
                STREAM_LATENCY, lambda: self._fail(node, effect, refused=True)
            )
            return
        if pair & self.cuts or target.paused:
            self.after(
                CONNECT_TIMEOUT, lambda: self._fail(node, effect, refused=False)
            )
            return
        incarnation = node.incarnation

        def establish() -> None:
            if not node.alive or node.incarnation != incarnation:
                return
            near = node.new_stream_end()
            far = target.new_stream_end()
            near.other = far
            far.other = near
            target.submit(
                events.StreamOpened(
                    far.stream, node.hello(near.stream), outbound=False
                )
            )
            node.submit(
                events.StreamOpened(
                    near.stream,
                    target.hello(far.stream),
                    outbound=True,
                    address=target.name,
                    number=near.stream,
                )
            )

        self.after(STREAM_LATENCY * 2, establish)

    def _fail(self, node: Node, effect: OpenStream, *, refused: bool) -> None:
        failure = Failure(Step.connect, effect.address, 'no connection')
        node.submit(
            events.PeerUnreachable(
                effect.daemon, effect.address, failure, refused=refused
            )
        )

    def _call(self, node: Node, effect: CallUpstream) -> None:
        upstream = node.upstreams[effect.address]
        failure = Failure(Step.call, upstream.name, 'failed')
        if upstream.dead:
            refused = events.UpstreamFailed(
                effect.call, events.CallFault.refused, False, failure
            )
            self.after(ms(0.1), lambda: node.submit(refused))
            return
        headers = {name.lower(): content for name, content in effect.headers}
        tag = headers.get(b'x-request-tag', b'')
        upstream.runs.append(tag)
        upstream.started.append(self.now)
        self.run_times.setdefault(tag, []).append(self.now)
        node.calls[effect.call] = upstream
        if tag.startswith(upstream.crash_prefix):
            self.after(ms(1), lambda: self.crash(node, upstream))
            return
        if upstream.hang:
            return
        body = b'another' if upstream.wrong else tag
        answer = events.UpstreamAnswered(
            effect.call, upstream.status, ((b'X-Request-Tag', body),), body
        )
        stated = events.UpstreamStated(
            effect.upstream, upstream.rate_limit_per_s, upstream.leaving
        )

        def finish() -> None:
            if node.calls.pop(effect.call, None) is not None:
                node.submit(stated)
                node.submit(answer)

        service_ms = next(
            (
                path_ms
                for start, path_ms in upstream.path_ms.items()
                if effect.target.startswith(start)
            ),
            upstream.service_ms,
        )
        self.after(ms(service_ms), finish)

    def _probe(self, node: Node, effect: ProbeUpstream) -> None:
        upstream = node.upstreams[effect.address]
        silent = upstream.hang and not upstream.dead
        probed = events.Probed(
            effect.upstream,
            alive=not upstream.dead and not upstream.hang,
            refused=upstream.dead,
        )
        self.after(ms(1000 if silent else 1), lambda: node.submit(probed))

    def crash(self, node: Node, upstream: FakeUpstream) -> None:
        """End the process of an upstream; running calls are reset."""
        upstream.dead = True
        running = [
            call for call, each in node.calls.items() if each is upstream
        ]
        for call in running:
            node.calls.pop(call)
            failure = Failure(Step.call, upstream.name, 'reset')
            node.submit(
                events.UpstreamFailed(
                    call, events.CallFault.reset, True, failure
                )
            )

    def _access_log(self, node: Node, effect: ReadLog | AppendLog) -> None:
        if self.log_down:
            payload = getattr(effect, 'payload', None)
            failure = Failure(Step.log, 'log', 'down')
            failed = events.LogFailed(effect.stream, failure, payload)
            self.after(ms(5), lambda: node.submit(failed))
            return
        if isinstance(effect, AppendLog):
            self.log.append(effect.payload)
            if not self.lose_append_replies:
                appended = events.LogAppended(
                    effect.stream,
                    LogOffset(len(self.log) - 1),
                    effect.payload,
                )
                self.after(ms(2), lambda: node.submit(appended))
            return
        self.after(ms(2), lambda: self._read(node, effect, self.now))

    def _read(self, node: Node, effect: ReadLog, asked_at: timedelta) -> None:
        start = max(effect.start, self.log_first)
        payloads = self.log[start:]
        waiting = self.now - asked_at < effect.wait and not self.log_down
        if not payloads and waiting:
            self.after(ms(20), lambda: self._read(node, effect, asked_at))
            return
        records = tuple(
            events.LogRecord(LogOffset(start + index), payload)
            for index, payload in enumerate(payloads)
        )
        following = LogOffset(start + len(payloads))
        first = LogOffset(self.log_first)
        node.submit(events.LogRead(effect.stream, first, following, records))

    def _tick(self, node: Node) -> None:
        if node.alive and not node.paused:
            node.submit(events.Tick(self.clock.wall()))
        self.after(TICK, lambda: self._tick(node))

    def announce(self, node: Node) -> None:
        """Announce the upstreams beside a daemon."""
        for upstream in node.upstreams.values():
            if not upstream.dead:
                state = UpstreamState.serving
                if upstream.draining:
                    state = UpstreamState.draining
                node.submit(
                    events.Announced(
                        UpstreamId(upstream.name),
                        upstream.service,
                        upstream.name,
                        upstream.slots,
                        state,
                        upstream.boot,
                    )
                )

    def _announce(self, node: Node) -> None:
        self.announce(node)
        self.after(ANNOUNCE_INTERVAL, lambda: self._announce(node))


def _header(answer: Respond, name: bytes) -> str:
    for header_name, content in answer.headers:
        if header_name == name:
            return content.decode()
    return ''


def started(
    size: int, seed: int = 1, upstreams: int = 1, data_centres: int = 4
) -> FakeFleet:
    """Return a fleet in which every daemon is ready."""
    fleet = FakeFleet(size, seed, upstreams, data_centres)
    fleet.publish()
    fleet.run(8000)
    for node in fleet.nodes.values():
        assert node.daemon.ready() == (True, 'serving')
    return fleet
