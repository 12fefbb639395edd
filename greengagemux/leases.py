"""Messages by which homes and their successors agree on key slots."""

from msgspec import Struct

from .ids import ServiceName


class SlotEpoch(Struct, frozen=True, array_like=True):
    """One key slot of a service in one epoch of its home."""

    service: ServiceName
    slot: int
    epoch: int


class LeaseRequest(Struct, frozen=True, array_like=True, tag='ask-promise'):
    """A home asks its successor not to take over some slots."""

    nonce: int
    slots: tuple[SlotEpoch, ...]


class LeaseGrant(Struct, frozen=True, array_like=True, tag='promise'):
    """The sender will not take over these slots for ``valid_ms``.

    The receiver counts from the time at which it sent the request with this
    ``nonce``, so a delay of either message only shortens the promise.
    """

    nonce: int
    slots: tuple[SlotEpoch, ...]
    valid_ms: int


class KeyRecordsAccepted(
    Struct, frozen=True, array_like=True, tag='keys-taken'
):
    """The new home has all key records of this epoch."""

    slot: SlotEpoch
