"""Queues of changed records and heartbeats, and the peers they go to."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .ids import DaemonId
from .messages import MemberHeartbeats, MemberDeltas, MemberMessage
from .membertables import Entry, MemberTable

#: Peers to which a changed record is pushed.
PUSH_PEERS = 4
#: Peers to which heartbeats and versions are told in one round.
BEAT_PEERS = 3
#: Rounds in which the version of a changed record is mentioned.
MENTIONS = 4
#: Rounds for records that came in bulk, after a start or a long cut.
BULK_MENTIONS = 1
#: Rounds in which a relay mentions a change of its centre to other regions.
CROSS_MENTIONS = 3


@dataclass(frozen=True, slots=True)
class Directed:
    """A message for one daemon."""

    daemon: DaemonId
    message: MemberMessage


class Gossip:
    """What one daemon has to tell others, until the next round."""

    def __init__(
        self, own: Entry, member_table: MemberTable, rng: random.Random
    ) -> None:
        """Start with the own record to push."""
        self._own = own
        self._id = own.record.daemon
        self._area = member_table.area(own.record)
        self._rng = rng
        self._roster = member_table
        self._push: dict[DaemonId, None] = {self._id: None}
        self._cross_push: dict[DaemonId, None] = {}
        self._beats: dict[DaemonId, None] = {}
        self._cross_beats: dict[DaemonId, None] = {}
        self._mentions: dict[DaemonId, int] = {}
        self._cross_mentions: dict[DaemonId, int] = {}

    def spread_record(self, entry: Entry, lazy: bool, bulk: bool) -> None:
        """Queue a changed record.

        The version alone is told of a ``lazy`` one.
        """
        daemon = entry.record.daemon
        self._mentions[daemon] = BULK_MENTIONS if bulk else MENTIONS
        relaying = self._relays_for(entry) is not None
        if relaying:
            self._cross_mentions[daemon] = CROSS_MENTIONS
        if lazy:
            return
        self._push[daemon] = None
        if relaying:
            self._cross_push[daemon] = None

    def spread_beat(self, entry: Entry) -> None:
        """Queue a newer heartbeat for the next round."""
        self._beats[entry.record.daemon] = None
        # The relays of a data centre take turns, so the link between regions
        # carries each heartbeat once and the loss of one relay costs every
        # other heartbeat.
        rank = self._relays_for(entry)
        if rank is not None and entry.beat % 2 == rank:
            self._cross_beats[entry.record.daemon] = None

    def _relays_for(self, entry: Entry) -> int | None:
        """Return the own rank as relay if the member is in the same centre."""
        if entry.record.data_centre != self._own.record.data_centre:
            return None
        return self._roster.groups.ranks.get(self._id)

    def push_records(self, now: timedelta, out: list[Directed]) -> None:
        """Send the queued records."""
        if self._push:
            message = deltas(self._entries(self._push), now)
            peers = self.peers(PUSH_PEERS)
            if self._id in self._push:
                # Relays hear changes of their centre first, so that the
                # other regions do not wait for chance to reach a relay.
                peers += self._own_relays(peers)
            out.extend(Directed(peer, message) for peer in peers)
            self._push.clear()
        if self._cross_push:
            message = deltas(self._entries(self._cross_push), now)
            for relay in self.far_relays():
                out.append(Directed(relay, message))
            self._cross_push.clear()

    def mention(self, now: timedelta, out: list[Directed]) -> None:
        """Tell the versions of records that changed a short time ago."""
        if self._mentions:
            self._tell(self._mentions, self.peers(BEAT_PEERS), now, out)
            self._mentions = _next_round(self._mentions)
        if self._cross_mentions:
            self._tell(self._cross_mentions, self.far_relays(), now, out)
            self._cross_mentions = _next_round(self._cross_mentions)

    def push_beats(self, now: timedelta, out: list[Directed]) -> None:
        """Send the queued heartbeats."""
        if self._beats:
            self._tell(self._beats, self.peers(BEAT_PEERS), now, out)
            self._beats.clear()
        if self._cross_beats:
            self._tell(self._cross_beats, self.far_relays(), now, out)
            self._cross_beats.clear()

    def _tell(
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
        known = [self._roster.entries.get(daemon) for daemon in daemons]
        return [entry for entry in known if entry and entry.lost is None]

    def peers(self, count: int) -> list[DaemonId]:
        """Return random live members of the own area."""
        near = self._roster.groups.live[self._area]
        found = self._rng.sample(near, min(count + 1, len(near)))
        return [peer for peer in found if peer != self._id][:count]

    def spread(self, origin: bool) -> list[DaemonId]:
        """Return near peers, and relays where the news has to cross."""
        found = self.peers(PUSH_PEERS)
        if origin:
            found += self._own_relays(found)
        if self._id in self._roster.groups.ranks:
            found += self.far_relays()
        return found

    def far_relays(self) -> list[DaemonId]:
        """Return one random relay of each other area."""
        return [
            self._rng.choice(relays)
            for area, relays in self._roster.groups.relays.items()
            if area != self._area
        ]

    def _own_relays(self, besides: list[DaemonId]) -> list[DaemonId]:
        """Return the other relays of the own data centre."""
        centre = self._own.record.data_centre
        return [
            relay
            for relay in self._roster.groups.relays.get(self._area, ())
            if relay != self._id
            and relay not in besides
            and self._roster.entries[relay].record.data_centre == centre
        ]


def _next_round(mentions: dict[DaemonId, int]) -> dict[DaemonId, int]:
    return {
        daemon: rounds - 1 for daemon, rounds in mentions.items() if rounds > 1
    }


def deltas(entries: list[Entry], now: timedelta) -> MemberDeltas:
    """Return the message that carries some records."""
    return MemberDeltas(
        tuple(entry.record for entry in entries),
        tuple(entry.beat for entry in entries),
        tuple(entry.age_s(now) for entry in entries),
    )
