"""Real reducers joined by a fake network, fake upstreams and a fake log.

Streams keep order and lose nothing while they live, as TCP does. A cut holds
messages back; they arrive late if the cut heals before the stream ends.
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
    CloseStream,
    Continue,
    Effect,
    OpenStream,
    ProbeUpstream,
    ReadLog,
    Record,
    Respond,
    Send,
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
from greengagemux.writes import Terms

LATENCY = ms(1)
CONNECT_TIMEOUT = ms(1000)
ANNOUNCE_EVERY = ms(1000)
OPERATOR = 'alice'
#: The protocol of keyed writes with a window that histories can outlast.
TERMS = Terms(key_window=ms(8000), forward_limit=ms(2000))
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


@dataclass
class FakeUpstream:
    """An upstream whose runs are recorded by request tag."""

    name: str
    service_ms: float = 5
    hang: bool = False
    status: int = 200
    wrong: bool = False
    dead: bool = False
    draining: bool = False
    crash_on: bytes = b'\x00'
    drains: list[tuple[timedelta, timedelta | None]] = field(
        default_factory=list
    )
    runs: list[bytes] = field(default_factory=list)
    started: list[timedelta] = field(default_factory=list)


@dataclass
class Asked:
    """A caller's request and the process it was sent to."""

    tag: bytes
    at: timedelta
    node: str
    incarnation: Incarnation
    paused: bool = False


@dataclass
class Pipe:
    """One end of a stream; ``other`` is the end at the peer."""

    node: 'Node'
    stream: StreamId
    other: 'Pipe | None' = None
    held: list[Message] = field(default_factory=list)
    stuck: bool = False
    ended: bool = False


class Node:
    """One daemon process."""

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
        """Start a new process with nothing kept."""
        self.fleet.starts += 1
        self.incarnation = Incarnation(self.fleet.starts)
        centre = DataCentre(f'dc-{self.number % 4}')
        own = MemberRecord(
            daemon=DaemonId(self.name),
            incarnation=self.incarnation,
            sequence=1,
            data_centre=centre,
            region=Region(f'region-{self.number % 4 // 2}'),
            peer_address=self.name,
        )
        seeds = tuple(f'd{number}' for number in range(self.fleet.size))
        rng = Random(f'{self.fleet.seed}/{self.name}/{self.incarnation}')
        rollout = Rollout({OPERATOR: PUBLIC_KEY}, own.daemon, centre)
        self.daemon = Daemon(
            DaemonOptions(own, seeds, ms(30_000)), rollout, rng
        )
        self.pipes: dict[StreamId, Pipe] = {}
        self.calls: dict[CallId, FakeUpstream] = {}
        self.streams = 0
        self.alive = True
        self.paused = False
        self.exited = False
        self.backlog = []

    def submit(self, event: events.Event) -> None:
        """Apply an event, or keep it while the process is paused."""
        if not self.alive:
            return
        if self.paused:
            self.backlog.append(event)
            return
        for effect in reduce(self.daemon, event, self.fleet.now):
            self.fleet.carry_out(self, effect)

    def new_pipe(self) -> Pipe:
        """Return a new end of a stream."""
        self.streams += 1
        pipe = Pipe(self, StreamId(self.streams))
        self.pipes[pipe.stream] = pipe
        return pipe

    def hello(self, number: int) -> Hello:
        """Return the first message of a stream."""
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

    def __init__(self, size: int, seed: int = 1, upstreams: int = 1) -> None:
        self.seed = seed
        self.size = size
        self.clock = ManualClock()
        self.queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.order = 0
        self.starts = 0
        self.cuts: set[tuple[str, str]] = set()
        self.stuck: list[Pipe] = []
        self.log: list[bytes] = []
        #: Oldest offset that the log still has.
        self.log_first = 0
        self.log_down = False
        self.lose_append_replies = False
        self.answers: dict[int, Respond] = {}
        self.requests: dict[int, Asked] = {}
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
        """Monotonic time of all processes."""
        return self.clock.monotonic()

    @property
    def upstreams(self) -> list[FakeUpstream]:
        """All upstreams."""
        return [
            upstream
            for node in self.nodes.values()
            for upstream in node.upstreams.values()
        ]

    def publish(self, text: str = BUNDLE) -> None:
        """Append a signed bundle to the log."""
        self.log.append(sign(text, OPERATOR, PRIVATE_KEY))

    def after(self, delay: timedelta, work: Callable[[], None]) -> None:
        """Do something later."""
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, work))

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        end = self.now + ms(duration_ms)
        while self.queue and self.queue[0][0] <= end:
            due, _order, work = heapq.heappop(self.queue)
            self.clock.advance(due - self.now)
            work()
        self.clock.advance(end - self.now)

    def ask(
        self, node: str, tag: bytes, path: bytes = b'/stock/1', **extra: bytes
    ) -> int:
        """Send a caller's request; return its number."""
        self.exchanges += 1
        exchange = self.exchanges
        method = b'POST' if path.startswith(b'/intake') else b'GET'
        headers = [(b'X-Request-Tag', tag)]
        if 'key' in extra:
            headers.append((b'Idempotency-Key', extra['key']))
        known = self.nodes[node]
        self.requests[exchange] = Asked(
            tag, self.now, node, known.incarnation, known.paused
        )
        known.submit(
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
        """Return the outcome header of an answer, empty without one."""
        answer = self.answers.get(exchange)
        return _header(answer, b'Greengage-Outcome') if answer else ''

    def reason(self, exchange: int) -> str:
        """Return the reason header of an answer."""
        return _header(self.answers[exchange], b'Greengage-Reason')

    def runs(self, tag: bytes) -> int:
        """Return how often a request ran over all upstreams."""
        return sum(upstream.runs.count(tag) for upstream in self.upstreams)

    def kill(self, name: str) -> None:
        """End a process at once; its streams are reset."""
        node = self.nodes[name]
        node.alive = False
        for pipe in tuple(node.pipes.values()):
            self._end(pipe, 'connection reset')
        node.pipes.clear()

    def pause(self, name: str) -> None:
        """Freeze a process; its connections stay open."""
        node = self.nodes[name]
        node.paused = True
        for exchange, asked in self.requests.items():
            if asked.node == name and exchange not in self.answers:
                asked.paused = True

    def wake(self, name: str) -> None:
        """Let a frozen process go on with what arrived meanwhile."""
        node = self.nodes[name]
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            node.submit(event)

    def cut(self, sender: str, receiver: str) -> None:
        """Hold back everything from one daemon to another."""
        self.cuts.add((sender, receiver))

    def heal(self) -> None:
        """End all cuts; what was held back arrives late."""
        self.cuts.clear()
        for node in self.nodes.values():
            for pipe in tuple(node.pipes.values()):
                held, pipe.held = pipe.held, []
                for message in held:
                    self._deliver(pipe, message)

    def silence(self, first: str, second: str) -> None:
        """Let all open streams between two daemons go silent for good."""
        for pipe in tuple(self.nodes[first].pipes.values()):
            if pipe.other is not None and pipe.other.node.name == second:
                pipe.other.other = None
                pipe.other = None

    def stick(self, first: str, second: str) -> None:
        """Hold back what is sent on the open streams; new ones work."""
        for pipe in self.nodes[first].pipes.values():
            if pipe.other is not None and pipe.other.node.name == second:
                pipe.stuck = True
                self.stuck.append(pipe)

    def release(self) -> None:
        """Deliver late what was held back on stuck streams."""
        stuck, self.stuck = self.stuck, []
        for pipe in stuck:
            pipe.stuck = False
            held, pipe.held = pipe.held, []
            for message in held:
                self._deliver(pipe, message)
            if pipe.ended:
                self._end(pipe, 'closed by peer')

    def carry_out(self, node: Node, effect: Effect) -> None:
        """Do what a reducer asked for."""
        if isinstance(effect, Send):
            pipe = node.pipes.get(effect.stream)
            if pipe is not None:
                self._send(pipe, effect.message)
        elif isinstance(effect, CallUpstream):
            self._call(node, effect)
        elif isinstance(effect, ProbeUpstream):
            self._probe(node, effect)
        elif isinstance(effect, AbortCall):
            node.calls.pop(effect.call, None)
        elif isinstance(effect, Respond):
            self.answers[effect.exchange] = effect
            self.answered_at[effect.exchange] = self.now
        elif isinstance(effect, OpenStream):
            self._open(node, effect)
        elif isinstance(effect, CloseStream):
            pipe = node.pipes.pop(effect.stream, None)
            if pipe is not None:
                self._end(pipe, 'closed by peer')
        elif isinstance(effect, ReadLog | AppendLog):
            self._use_log(node, effect)
        elif isinstance(effect, Record):
            self.records[node.name].append(effect)
            if effect.name == 'bundle-in-force':
                self._note_bundle(node)
        elif isinstance(effect, Continue):
            self.after(ms(0), lambda: node.submit(events.Advance()))
        elif type(effect).__name__ == 'Exit':
            node.exited = True
            self.kill(node.name)

    def _note_bundle(self, node: Node) -> None:
        accepted = node.daemon.distribution.rollout.accepted
        if accepted is not None:
            key = (node.name, node.incarnation)
            taken = self.bundles.setdefault(key, [])
            taken.append((accepted.version, accepted.signed.digest))

    def drain(self, upstream: FakeUpstream) -> None:
        """Let an upstream announce that it is leaving."""
        upstream.draining = True
        upstream.drains.append((self.now, None))

    def undrain(self, upstream: FakeUpstream) -> None:
        """Let a leaving upstream serve again."""
        upstream.draining = False
        since, _until = upstream.drains[-1]
        upstream.drains[-1] = (since, self.now)

    def _send(self, pipe: Pipe, message: Message) -> None:
        if pipe.other is None:
            return
        ends = (pipe.node.name, pipe.other.node.name)
        if pipe.stuck or ends in self.cuts:
            pipe.held.append(message)
            return
        self._deliver(pipe, message)

    def _deliver(self, pipe: Pipe, message: Message) -> None:
        other = pipe.other
        if other is None:
            return

        def arrive() -> None:
            if other.stream in other.node.pipes:
                other.node.submit(events.PeerMessage(other.stream, message))

        self.after(LATENCY, arrive)

    def _end(self, pipe: Pipe, detail: str) -> None:
        if pipe.stuck:
            pipe.ended = True
            return
        other = pipe.other
        pipe.other = None
        if other is None:
            return
        if (pipe.node.name, other.node.name) in self.cuts:
            return
        other.other = None

        def arrive() -> None:
            if other.node.pipes.pop(other.stream, None) is not None:
                failure = Failure(Step.connect, pipe.node.name, detail)
                other.node.submit(events.StreamClosed(other.stream, failure))

        self.after(LATENCY, arrive)

    def _open(self, node: Node, effect: OpenStream) -> None:
        target = self.nodes[effect.address]
        pair = {(node.name, target.name), (target.name, node.name)}
        if not target.alive or target.exited:
            self.after(LATENCY, lambda: self._fail(node, effect, refused=True))
            return
        if pair & self.cuts or target.paused:
            self.after(
                CONNECT_TIMEOUT, lambda: self._fail(node, effect, refused=False)
            )
            return
        incarnation = node.incarnation

        def greet() -> None:
            if not node.alive or node.incarnation != incarnation:
                return
            near = node.new_pipe()
            far = target.new_pipe()
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

        self.after(LATENCY * 2, greet)

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
        if tag.startswith(upstream.crash_on):
            self.after(ms(1), lambda: self.crash(node, upstream))
            return
        if upstream.hang:
            return
        told = b'another' if upstream.wrong else tag
        answer = events.UpstreamAnswered(
            effect.call, upstream.status, ((b'X-Request-Tag', told),), told
        )

        def finish() -> None:
            if node.calls.pop(effect.call, None) is not None:
                node.submit(answer)

        self.after(ms(upstream.service_ms), finish)

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

    def _use_log(self, node: Node, effect: ReadLog | AppendLog) -> None:
        if self.log_down:
            payload = getattr(effect, 'payload', None)
            failure = Failure(Step.log, 'log', 'down')
            failed = events.LogFailed(effect.stream, failure, payload)
            self.after(ms(5), lambda: node.submit(failed))
            return
        if isinstance(effect, AppendLog):
            self.log.append(effect.payload)
            if not self.lose_append_replies:
                done = events.LogAppended(
                    effect.stream,
                    LogOffset(len(self.log) - 1),
                    effect.payload,
                )
                self.after(ms(2), lambda: node.submit(done))
            return
        self.after(ms(2), lambda: self._read(node, effect, self.now))

    def _read(self, node: Node, effect: ReadLog, asked: timedelta) -> None:
        start = max(effect.start, self.log_first)
        fresh = self.log[start:]
        waiting = self.now - asked < effect.wait and not self.log_down
        if not fresh and waiting:
            self.after(ms(20), lambda: self._read(node, effect, asked))
            return
        records = tuple(
            events.LogRecord(LogOffset(start + place), payload)
            for place, payload in enumerate(fresh)
        )
        following = LogOffset(start + len(fresh))
        first = LogOffset(self.log_first)
        node.submit(events.LogRead(effect.stream, first, following, records))

    def _tick(self, node: Node) -> None:
        if node.alive and not node.paused:
            node.submit(events.Tick(self.clock.wall()))
        self.after(TICK, lambda: self._tick(node))

    def _announce(self, node: Node) -> None:
        for upstream in node.upstreams.values():
            if not upstream.dead:
                state = UpstreamState.serving
                if upstream.draining:
                    state = UpstreamState.draining
                node.submit(
                    events.Announced(
                        UpstreamId(upstream.name),
                        ServiceName('ledger'),
                        upstream.name,
                        4,
                        state,
                    )
                )
        self.after(ANNOUNCE_EVERY, lambda: self._announce(node))


def _header(answer: Respond, name: bytes) -> str:
    for known, content in answer.headers:
        if known == name:
            return content.decode()
    return ''


def started(size: int, seed: int = 1, upstreams: int = 1) -> FakeFleet:
    """Return a fleet that serves."""
    fleet = FakeFleet(size, seed, upstreams)
    fleet.publish()
    fleet.run(8000)
    for node in fleet.nodes.values():
        assert node.daemon.ready() == (True, 'serving')
    return fleet
