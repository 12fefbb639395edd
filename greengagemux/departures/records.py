"""Records of departures in the log, and the newest ones of one host."""

import re
from collections.abc import Iterable
from typing import Annotated, Final

import msgspec

from ..events import LogRecord
from ..ids import DaemonId, SlotNumber, UpstreamId

STREAM: Final = 'departures'
#: Records of one host; a departure beyond them replaces that of the earliest
#: boot. Several boots of a host may leave while their check-ins are delayed.
SLOTS: Final = 4
#: Longest id of an upstream in a record, in characters.
ID_LIMIT: Final = 200

_SLOT: Final = re.compile('[0-9]')


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A boot of an upstream that takes no new requests.

    It binds earlier boots of the upstream as well.
    """

    upstream: Annotated[UpstreamId, msgspec.Meta(max_length=ID_LIMIT)]
    boot: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Departure)


def encode_departure(departure: Departure) -> bytes:
    """Return the content of the record of a departure."""
    return _encoder.encode(departure)


def decode_departure(payload: bytes) -> Departure:
    """Return the departure in a record.

    Raises ``ValueError`` for a record of another writer.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error


class SlotTable:
    """The newest departures beside one daemon.

    Each has a key of its own in the log, since an append that got no response
    may be executed after a later one.
    """

    def __init__(self, daemon: DaemonId) -> None:
        """Start without departures."""
        self._prefix = f'{daemon}/'
        self._slots: dict[SlotNumber, Departure] = {}
        #: Slots whose record may be missing in the log.
        self._unwritten: set[SlotNumber] = set()

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Return all departures."""
        return tuple(self._slots.values())

    def key(self, slot: SlotNumber) -> str:
        """Return the key of a slot in the log."""
        return f'{self._prefix}{slot}'

    def load(self, records: Iterable[LogRecord]) -> list[str]:
        """Take over the records of earlier processes of this daemon.

        Those of other daemons are ignored. Departures that are not written yet
        get other slots. Returns the keys that hold no departure.
        """
        rejected: list[str] = []
        added = [self._slots.pop(slot) for slot in self._unwritten]
        self._unwritten.clear()
        for record in records:
            slot = self._slot(record.key)
            if slot is None or not record.payload:
                continue
            try:
                self._slots[slot] = decode_departure(record.payload)
            except ValueError:
                rejected.append(record.key)
        for departure in added:
            self.put(departure)
        return rejected

    def holds(self, departure: Departure) -> bool:
        """Return whether the log holds a departure."""
        return any(
            each.upstream == departure.upstream
            and each.boot >= departure.boot
            and slot not in self._unwritten
            for slot, each in self._slots.items()
        )

    def put(self, departure: Departure) -> None:
        """Add a departure that is to be written, unless it is known."""
        if departure in self._slots.values():
            return
        free = [slot for slot in _all_slots() if slot not in self._slots]
        slot = free[0] if free else min(self._slots, key=self._boot)
        self._slots[slot] = departure
        self._unwritten.add(slot)

    def unwritten(self) -> tuple[SlotNumber, Departure] | None:
        """Return the departure to be written next, None if there is none."""
        if not self._unwritten:
            return None
        slot = max(self._unwritten, key=self._boot)
        return slot, self._slots[slot]

    def written(self, slot: SlotNumber, departure: Departure) -> None:
        """Note that the log holds a record."""
        if self._slots.get(slot) == departure:
            self._unwritten.discard(slot)

    def rewrite_all(self) -> None:
        """Note that the log may have lost all records."""
        self._unwritten.update(self._slots)

    def _boot(self, slot: SlotNumber) -> int:
        return self._slots[slot].boot

    def _slot(self, key: str) -> SlotNumber | None:
        name = key.removeprefix(self._prefix)
        if name == key or _SLOT.fullmatch(name) is None:
            return None
        slot = SlotNumber(int(name))
        return slot if slot < SLOTS else None


def _all_slots() -> Iterable[SlotNumber]:
    return map(SlotNumber, range(SLOTS))
