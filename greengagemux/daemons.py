"""The daemon of a fleet with signed bundles, TLS and administration."""

import logging
from collections.abc import Mapping
from random import Random
from typing import Any, Final

from .administration import BundleView, build_site
from .certificates import Certificates
from .clocks import ms
from .effects import Record
from .explanations.decisions import Explanation, Question, explain
from .explanations.views import IngressView
from .ids import DaemonId, DataCentre, Incarnation, Region
from .listeners import listen
from .logclients import LogClient, build_agent
from .logs import log_event
from .memory.limits import host_limits
from .messages import MemberRecord
from .outcomes import FailureError
from .reducers import Daemon, DaemonOptions
from .rollouts import Rollout
from .settings import Settings
from .runtimes import (
    Process,
    Runtime,
    build_process,
    new_incarnation,
    run_runtime,
)
from .signatures import KeyRing
from .sources import RETENTION
from .views import bundle_of, state_of

logger = logging.getLogger(__name__)

#: Interval between checks of the certificate files for changes.
CERTIFICATES_CHECK_INTERVAL_S: Final = 5.0


class FleetRuntime(Runtime):
    """Runtime of a daemon that is configured by an INI settings file."""

    def __init__(self, settings: Settings, process: Process) -> None:
        """Build all parts; no address is listened on yet."""
        self.settings = settings
        certificates: Certificates | None = None
        if settings.tls is not None:
            certificates = Certificates(
                settings.tls, settings.daemon.id, process.clock
            )
        incarnation = new_incarnation(process.clock)
        daemon = _build_daemon(settings, incarnation)
        super().__init__(
            process,
            daemon,
            certificates,
            limits=host_limits(settings.daemon.memory_mb),
        )
        if settings.log is not None:
            agent = build_agent(self._reactor)
            self._log = LogClient(
                agent, self._reactor, str(settings.log.url), self.submit
            )

    def start(self) -> None:
        """Listen and start the timers; raises ``CannotListenError``."""
        daemon = self.settings.daemon
        self._ports.append(self._hub.listen(daemon.peer_address))
        tls = self._certificates and self._certificates.callers
        site = build_site(self, daemon, self.metrics, self._reactor)
        self._ports.append(
            listen(self._reactor, daemon.admin_address, site, tls)
        )
        self._listener.listen(daemon.http_address, tls)
        self._start_timer(
            CERTIFICATES_CHECK_INTERVAL_S, self._refresh_certificates
        )
        super().start()
        self._carry_out(Record('started', {'http': str(daemon.http_address)}))

    def ready(self) -> tuple[bool, str]:
        """Return whether the daemon can serve callers, and why."""
        return self.daemon.ready()

    def state(self) -> Mapping[str, Any]:
        """Return upstreams with reasons, bundle, members and streams."""
        return state_of(self.daemon, self._clock.monotonic())

    def explain(self, question: Question) -> Explanation:
        """Return where a request would be placed, without sending it."""
        parts = self.daemon.ingress.placement_parts
        view = IngressView(parts, self._clock.monotonic())
        return explain(view, question)

    def bundle(self) -> BundleView:
        """Return the bundle in force and the newest rejected records."""
        return bundle_of(self.daemon)

    def _refresh_certificates(self) -> None:
        if self._certificates is None:
            return
        try:
            changed = self._certificates.refresh()
        except FailureError as error:
            self.metrics.count('certificate_failures_total')
            fields = {'failure': str(error.failure)}
            log_event(logger, 'certificates-kept', fields, logging.ERROR)
            return
        if changed:
            log_event(logger, 'certificates-replaced', {}, logging.INFO)


def run(settings: Settings) -> None:
    """Run a daemon until it is stopped by a signal; the log goes to stdout.

    Raises ``OSError`` when an address cannot be listened on.
    """
    process = build_process(
        DaemonId(settings.daemon.id), settings.logging.level
    )
    run_runtime(process, FleetRuntime(settings, process))


def _build_daemon(settings: Settings, incarnation: Incarnation) -> Daemon:
    daemon = settings.daemon
    own = MemberRecord(
        daemon=DaemonId(daemon.id),
        incarnation=incarnation,
        sequence=1,
        data_centre=DataCentre(daemon.data_centre),
        region=Region(daemon.region),
        peer_address=str(daemon.peer_address),
    )
    log = settings.log
    retention = ms(log.retention_ms) if log else RETENTION
    options = DaemonOptions(
        own=own,
        seeds=tuple(str(seed) for seed in daemon.seeds),
        stop_limit=ms(daemon.stop_limit_ms),
        retention=retention,
        retained_bytes=host_limits(daemon.memory_mb).retained_bytes,
    )
    rollout = Rollout(
        KeyRing.from_settings(settings.operators),
        own.daemon,
        own.data_centre,
        retention,
    )
    return Daemon(options, rollout, Random(f'{daemon.id}/{incarnation}'))
