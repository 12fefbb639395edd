"""The newest inbound stream of each peer."""

from dataclasses import dataclass

from .ids import DaemonId, Incarnation, StreamId


@dataclass(frozen=True, slots=True)
class _NewestStream:
    incarnation: Incarnation
    number: int
    stream: StreamId

    @property
    def order(self) -> tuple[int, int]:
        return (self.incarnation, self.number)


class StreamEpochs:
    """Tracks the stream on which requests of each peer are accepted.

    A silent stream may still deliver a request after its caller got the
    response that the request did not run, so a newer stream supersedes it.
    """

    def __init__(self) -> None:
        """Start without streams."""
        self._newest: dict[DaemonId, _NewestStream] = {}

    def opened(
        self,
        stream: StreamId,
        daemon: DaemonId,
        incarnation: Incarnation,
        number: int,
    ) -> None:
        """Note a stream that a peer opened."""
        opened = _NewestStream(incarnation, number, stream)
        known = self._newest.get(daemon)
        if known is None or opened.order > known.order:
            self._newest[daemon] = opened

    def is_newest(self, daemon: DaemonId, stream: StreamId) -> bool:
        """Return whether no newer stream of the peer was opened."""
        newest = self._newest.get(daemon)
        return newest is not None and newest.stream == stream
