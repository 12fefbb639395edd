"""Gossip queues of changed member records and heartbeats, and its peers."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .ids import DaemonId
from .messages import MemberHeartbeats, MemberDeltas, MemberMessage
from .membertables import Entry, MemberTable

#: Peers to which a changed record is pushed.
PUSH_PEERS = 4
#: Peers to which heartbeats and versions are sent in one round.
HEARTBEAT_PEERS = 3
#: Rounds in which the version of a changed record is sent.
VERSION_ROUNDS = 4
#: The same for records of a bulk transfer, after a start or a partition.
BULK_VERSION_ROUNDS = 1
#: Rounds in which a relay sends the version of a changed record of its own
#: data centre to other areas.
FAR_VERSION_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Directed:
    """A message and the daemon to send it to."""

    daemon: DaemonId
    message: MemberMessage


class Gossip:
    """What one daemon sends to others in the next rounds of gossip."""

    def __init__(
        self, own: Entry, member_table: MemberTable, rng: random.Random
    ) -> None:
        """Start with the own record to push."""
        self._own = own
        self._id = own.record.daemon
        self._area = member_table.area(own.record)
        self._rng = rng
        self._member_table = member_table
        self._push: dict[DaemonId, None] = {self._id: None}
        self._far_push: dict[DaemonId, None] = {}
        self._heartbeats: dict[DaemonId, None] = {}
        self._far_heartbeats: dict[DaemonId, None] = {}
        self._version_rounds: dict[DaemonId, int] = {}
        self._far_version_rounds: dict[DaemonId, int] = {}

    def queue_record(
        self, entry: Entry, version_only: bool, bulk: bool
    ) -> None:
        """Queue a changed record and its version.

        With ``version_only`` the record itself is not sent. The version of a
        ``bulk`` record is sent in fewer rounds.
        """
        daemon = entry.record.daemon
        self._version_rounds[daemon] = (
            BULK_VERSION_ROUNDS if bulk else VERSION_ROUNDS
        )
        relaying = self._relays_for(entry) is not None
        if relaying:
            self._far_version_rounds[daemon] = FAR_VERSION_ROUNDS
        if version_only:
            return
        self._push[daemon] = None
        if relaying:
            self._far_push[daemon] = None

    def queue_heartbeat(self, entry: Entry) -> None:
        """Queue a newer heartbeat for the next round."""
        self._heartbeats[entry.record.daemon] = None
        # The relays of a data centre take turns by the parity of the counter,
        # so the link between areas carries each heartbeat once and the loss
        # of one relay loses every other heartbeat.
        rank = self._relays_for(entry)
        if rank is not None and entry.heartbeat % 2 == rank:
            self._far_heartbeats[entry.record.daemon] = None

    def _relays_for(self, entry: Entry) -> int | None:
        """Return the own rank as relay if the data centre is the same."""
        if entry.record.data_centre != self._own.record.data_centre:
            return None
        return self._member_table.groups.ranks.get(self._id)

    def push_records(self, now: timedelta, out: list[Directed]) -> None:
        """Send the queued records."""
        if self._push:
            message = deltas(self._entries(self._push), now)
            peers = self.peers(PUSH_PEERS)
            if self._id in self._push:
                # A change of this daemon goes to the relays of its data
                # centre at once, so that the other areas do not wait until
                # random gossip reaches a relay.
                peers += self._own_relays(peers)
            out.extend(Directed(peer, message) for peer in peers)
            self._push.clear()
        if self._far_push:
            message = deltas(self._entries(self._far_push), now)
            for relay in self.far_relays():
                out.append(Directed(relay, message))
            self._far_push.clear()

    def push_versions(self, now: timedelta, out: list[Directed]) -> None:
        """Send the versions of records that changed a short time ago."""
        if self._version_rounds:
            self._send_heartbeats(
                self._version_rounds, self.peers(HEARTBEAT_PEERS), now, out
            )
            self._version_rounds = _next_round(self._version_rounds)
        if self._far_version_rounds:
            self._send_heartbeats(
                self._far_version_rounds, self.far_relays(), now, out
            )
            self._far_version_rounds = _next_round(self._far_version_rounds)

    def push_heartbeats(self, now: timedelta, out: list[Directed]) -> None:
        """Send the queued heartbeats."""
        if self._heartbeats:
            self._send_heartbeats(
                self._heartbeats, self.peers(HEARTBEAT_PEERS), now, out
            )
            self._heartbeats.clear()
        if self._far_heartbeats:
            self._send_heartbeats(
                self._far_heartbeats, self.far_relays(), now, out
            )
            self._far_heartbeats.clear()

    def _send_heartbeats(
        self,
        daemons: Iterable[DaemonId],
        peers: list[DaemonId],
        now: timedelta,
        out: list[Directed],
    ) -> None:
        entries = self._entries(daemons)
        message = MemberHeartbeats(
            tuple(entry.digest(now) for entry in entries)
        )
        out.extend(Directed(peer, message) for peer in peers)

    def _entries(self, daemons: Iterable[DaemonId]) -> list[Entry]:
        known = [self._member_table.entries.get(daemon) for daemon in daemons]
        return [entry for entry in known if entry and entry.lost is None]

    def peers(self, count: int) -> list[DaemonId]:
        """Return up to ``count`` random live members of the own area."""
        near = self._member_table.groups.live[self._area]
        found = self._rng.sample(near, min(count + 1, len(near)))
        return [peer for peer in found if peer != self._id][:count]

    def gossip_peers(self, origin: bool) -> list[DaemonId]:
        """Return peers of the own area, and relays to reach other areas."""
        found = self.peers(PUSH_PEERS)
        if origin:
            found += self._own_relays(found)
        if self._id in self._member_table.groups.ranks:
            found += self.far_relays()
        return found

    def far_relays(self) -> list[DaemonId]:
        """Return one random relay of each other area."""
        return [
            self._rng.choice(relays)
            for area, relays in self._member_table.groups.relays.items()
            if area != self._area
        ]

    def _own_relays(self, besides: list[DaemonId]) -> list[DaemonId]:
        """Return the other relays of the own data centre."""
        centre = self._own.record.data_centre
        return [
            relay
            for relay in self._member_table.groups.relays.get(self._area, ())
            if relay != self._id
            and relay not in besides
            and self._member_table.entries[relay].record.data_centre == centre
        ]


def _next_round(version_rounds: dict[DaemonId, int]) -> dict[DaemonId, int]:
    return {
        daemon: rounds - 1
        for daemon, rounds in version_rounds.items()
        if rounds > 1
    }


def deltas(entries: list[Entry], now: timedelta) -> MemberDeltas:
    """Return the message that carries some records."""
    return MemberDeltas(
        tuple(entry.record for entry in entries),
        tuple(entry.heartbeat for entry in entries),
        tuple(entry.age_s(now) for entry in entries),
    )
