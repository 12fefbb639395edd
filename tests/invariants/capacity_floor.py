"""Ejection never reduces the capacity of a service below its floor."""

from greengagemux.messages import UpstreamState
from greengagemux.reducers import Daemon

#: As ``floor_pct`` in the bundle of the fake fleet.
FLOOR_PCT = 50


def floor_violations(daemon: Daemon) -> list[str]:
    """Return the services whose ejections leave less than the floor now."""
    lines = []
    for service, view in daemon.ingress.candidates.views.items():
        listed = list(view.candidates.values())
        allowed = {each.upstream for each in view.current().allowed}
        ejected = [
            each
            for each in listed
            if each.state is UpstreamState.sick
            and each.reachable
            and each.upstream not in allowed
        ]
        in_use = sum(
            each.slots
            for each in listed
            if each.upstream in allowed
            and each.state is not UpstreamState.cold
            and each.state is not UpstreamState.probation
        )
        total = sum(each.slots for each in listed)
        if ejected and in_use * 100 < FLOOR_PCT * total:
            lines.append(f'{daemon.own.daemon} {service}: {in_use}/{total}')
    return lines
