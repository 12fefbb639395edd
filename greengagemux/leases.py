"""Messages between the owners of key slots and their successors."""

from msgspec import Struct

from .ids import ServiceName


class SlotEpoch(Struct, frozen=True, array_like=True):
    """One epoch of the ownership of a key slot."""

    service: ServiceName
    slot: int
    epoch: int


class LeaseRequest(Struct, frozen=True, array_like=True, tag='ask-promise'):
    """An owner requests leases of some slots from their successor."""

    nonce: int
    slots: tuple[SlotEpoch, ...]


class LeaseGrant(Struct, frozen=True, array_like=True, tag='promise'):
    """The sender does not take over these slots for ``valid_ms``.

    The receiver counts from the time at which it sent the request with this
    ``nonce``, so a delay of either message only shortens the lease.
    """

    nonce: int
    slots: tuple[SlotEpoch, ...]
    valid_ms: int


class KeyRecordsAccepted(
    Struct, frozen=True, array_like=True, tag='keys-taken'
):
    """The new owner has received all key records of this epoch."""

    slot: SlotEpoch
