"""Stops the reactor once callers and peers have received all output.

What was handed to a transport has not been delivered: it may wait in the
process, or in the kernel until the other end reads. A process that ends takes
the former with it, and resets a connection that has unread input.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final

from ..effects import Containment
from ..listeners import CallerListener
from ..logs import log_event
from ..streams import StreamHub

logger = logging.getLogger(__name__)

#: Interval at which the output is checked. The last responses are written in
#: the turn in which the shutdown begins.
CHECK_INTERVAL_S: Final = 0.1
#: Most time for peers to end their streams after the last output. With the
#: stop limit it must stay within the time before the process is killed.
EXIT_LIMIT_S: Final = 0.3
_MS_PER_SECOND: Final = 1000


class Shutdown:
    """Ends the output to callers and peers, then stops the reactor."""

    def __init__(
        self,
        reactor: Any,
        listener: CallerListener,
        hub: StreamHub,
        contain: Callable[[str], Containment],
    ) -> None:
        """Keep what is to be ended; ``contain`` reports failures."""
        self._reactor = reactor
        self._listener = listener
        self._hub = hub
        self._contain = contain
        self._output_due_s = float(0)
        self._streams_due_s = float(0)

    def begin(self, limit: timedelta) -> None:
        """End all connections, each after its output.

        Callers and peers that read slowly have until ``limit`` and
        ``EXIT_LIMIT_S`` after it.
        """
        now_s = self._reactor.seconds()
        self._streams_due_s = now_s + EXIT_LIMIT_S
        self._output_due_s = self._streams_due_s + limit.total_seconds()
        with self._contain('callers-closed'):
            self._listener.disconnect_all()
        with self._contain('streams-ended'):
            self._hub.stop()
        self._reactor.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Stop the reactor unless there is a reason to wait."""
        waits = False
        with self._contain('output-checked'):
            waits = self._waits()
        if waits:
            self._reactor.callLater(CHECK_INTERVAL_S, self._check)
            return
        with self._contain('exit-logged'):
            self._log_exit()
        with self._contain('streams-closed'):
            self._hub.close_all()
        self._reactor.stop()

    def _log_exit(self) -> None:
        waited_s = self._reactor.seconds() + EXIT_LIMIT_S - self._streams_due_s
        fields = {
            'waited_ms': waited_s * _MS_PER_SECOND,
            'callers_unsent': self._listener.has_unsent,
            'peers_unsent': self._hub.has_unsent,
            'peers_open': self._hub.has_streams,
        }
        log_event(logger, 'exit', fields)

    def _waits(self) -> bool:
        now_s = self._reactor.seconds()
        if now_s >= self._output_due_s:
            return False
        if self._listener.has_unsent or self._hub.has_unsent:
            return True
        return self._hub.has_streams and now_s < self._streams_due_s
