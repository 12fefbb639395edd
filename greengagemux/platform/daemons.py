"""The daemon on the platform: the common runtime with platform adapters."""

import sys
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Final
from zlib import crc32

from ..approvals import ApprovedSource
from ..clocks import ms
from ..connections import UpstreamCalls
from ..departures import records as departures
from ..effects import Record
from ..ids import Incarnation
from ..listeners import CallerListener, listen
from ..logclients import build_agent
from ..memory.limits import HostLimits, host_limits
from ..messages import MemberRecord
from ..outcomes import FailureError
from ..reducers import STOP_NOTICE, Daemon, DaemonOptions
from ..runtimes import (
    Process,
    Runtime,
    build_process,
    new_incarnation,
    run_runtime,
)
from .configurations import ConfigurationDecoder
from .exchanges import PlatformCalls, PlatformListener
from .servers import (
    METRICS_TYPE,
    Announcements,
    MetricsPage,
    Readiness,
    Server,
)
from .settings import PlatformSettings, read_settings
from .stores import StoreClient

LOG_LEVEL: Final = 'debug'
#: Part of the platform's grace period in which pending requests may finish;
#: the rest is a margin before the process is killed. The platform excuses a
#: request that is cut off only in the last sixth of the period.
STOP_SHARE: Final = 0.9
#: Time for the record of a leaving daemon to reach the others before its egress
#: refuses new requests. Until then its upstream stays in service: nothing else
#: reaches it, and it would idle through the notice and the restart.
LEAVE_LEAD: Final = timedelta(milliseconds=500)
#: An upstream may lose its connection to the announcement address while
#: requests still reach it, so missing announcements don't prove that it has
#: ended. A refused connection does.
ANNOUNCE_LEASE: Final = timedelta(minutes=5)

#: Wake-ups cost processor time on small hosts, and time limits on this
#: platform are at least 400 ms, so a coarse tick is enough.
TICK: Final = timedelta(milliseconds=100)
GC_INTERVAL_S: Final = 5.0

#: Exit status after invalid settings.
EXIT_BAD_SETTINGS: Final = 2


class PlatformRuntime(Runtime):
    """Runtime of a daemon on the platform."""

    def __init__(
        self,
        settings: PlatformSettings,
        process: Process,
        settings_path: Path | None = None,
    ) -> None:
        """Build all parts; nothing listens yet."""
        self._settings = settings
        self._settings_path = settings_path
        incarnation = new_incarnation(process.clock)
        super().__init__(
            process,
            build_daemon(settings, incarnation),
            tick=TICK,
            gc_interval_s=GC_INTERVAL_S,
            limits=_limits_of(settings),
        )
        self._log = StoreClient(
            build_agent(self._reactor),
            self._reactor,
            f'http://{settings.log_address}',
            self.submit,
        )
        self._log.partitions = {
            departures.STREAM: _partition_of(settings),
        }
        self._announcements = Announcements(settings, self.apply, self._clock)
        self._acknowledge = self._announcements.acknowledge

    def start(self) -> None:
        """Listen and start the timers; raises ``CannotListenError``."""
        settings = self._settings
        self._ports.append(self._hub.listen(settings.peer_address))
        readiness = Server(self._reactor, Readiness(self.daemon.ready))
        metrics = Server(self._reactor, MetricsPage(self.metrics), METRICS_TYPE)
        self._ports += [
            listen(self._reactor, settings.ready_address, readiness, None),
            listen(self._reactor, settings.admin_address, metrics, None),
            listen(
                self._reactor,
                settings.announce_address,
                Server(self._reactor, self._announcements),
                None,
            ),
        ]
        self._listener.listen(settings.caller_address)
        super().start()
        self._carry_out(Record('started', {'service': settings.service}))

    def reload_settings(self) -> None:
        """Read the settings again and log whether they changed.

        Changes take effect only after a restart of the process.
        """
        try:
            settings = read_settings(self._settings_path)
        except FailureError as error:
            fields = {'failure': str(error.failure)}
            self._carry_out(Record('settings-rejected', fields))
            return
        changed = settings != self._settings
        self._carry_out(Record('settings-read', {'changed': changed}))

    def _build_listener(self) -> CallerListener:
        return PlatformListener(
            self._reactor,
            self._clock,
            self.submit,
            self._count_cutoff,
            self._limits,
            self._requests,
        )

    def _build_calls(self) -> UpstreamCalls:
        return PlatformCalls(
            self._reactor, self.submit, self._limits.response_bytes
        )


def main(path: Path | None = None) -> None:
    """Run a daemon; exit with status 2 if the settings are invalid.

    ``path`` is that of the settings file; see ``read_settings`` for the default.
    """
    try:
        settings = read_settings(path)
    except FailureError as error:
        sys.stdout.write(f'{error.failure}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    process = build_process(settings.daemon, LOG_LEVEL)
    run_runtime(process, PlatformRuntime(settings, process, path))


def build_daemon(
    settings: PlatformSettings, incarnation: Incarnation
) -> Daemon:
    """Return the state of a daemon with the options for the platform."""
    own = MemberRecord(
        daemon=settings.daemon,
        incarnation=incarnation,
        sequence=1,
        data_centre=settings.data_centre,
        region=settings.region,
        peer_address=str(settings.peer_address),
    )
    options = DaemonOptions(
        own=own,
        seeds=tuple(str(seed) for seed in settings.seeds),
        stop_limit=ms(1000 * STOP_SHARE * settings.bounds.grace_s),
        keyed=False,
        discovers=True,
        records_departures=True,
        episodes=True,
        tick=TICK,
        announce_lease=ANNOUNCE_LEASE,
        leave_after=STOP_NOTICE - LEAVE_LEAD,
        tolerance=settings.bounds.tolerance,
        retained_bytes=_limits_of(settings).retained_bytes,
    )
    source = ApprovedSource(ConfigurationDecoder(settings))
    return Daemon(options, source, Random(f'{own.daemon}/{incarnation}'))


def _partition_of(settings: PlatformSettings) -> int:
    """Return the partition of this daemon's departures.

    A daemon reads a whole partition when it starts.
    """
    return crc32(settings.daemon.encode()) % settings.log_parts


def _limits_of(settings: PlatformSettings) -> HostLimits:
    return host_limits(settings.memory_mb, settings.max_fds)
