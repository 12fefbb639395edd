"""Opening of bundle records in steps, before they are evaluated."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .bundles import Steps, finish
from .outcomes import FailureError
from .signatures import BaseMismatchError, KeyRing, SignedBundle, open_steps

#: Results kept until they are used; a read of the log holds few records.
PREPARED_LIMIT = 64


@dataclass(frozen=True, slots=True)
class _Prepared:
    """Result of opening a payload.

    ``base`` is the digest of the text it applies to, empty if it needs none.
    """

    base: bytes
    result: SignedBundle | FailureError


class RecordOpener:
    """Opens records, or returns the result prepared for the same payload.

    A prepared result equals that of opening at once, so it changes only the
    duration of ``open``. Results are kept by the payload and not by its
    digest: a damaged copy of a record may have the digest of the intact one.
    """

    def __init__(self, keys: KeyRing | Mapping[str, str]) -> None:
        """Start with nothing prepared."""
        self._keys = keys
        self._prepared: dict[bytes, _Prepared] = {}

    def open(
        self, payload: bytes, before: SignedBundle | None = None
    ) -> SignedBundle:
        """Return the bundle of a record.

        ``before`` is the bundle that a delta applies to. Raises the errors of
        ``open_steps``.
        """
        found = self._prepared.get(payload)
        if found is None or not _applies_to(found, before):
            return finish(open_steps(payload, self._keys, before))
        if isinstance(found.result, FailureError):
            raise found.result
        return found.result

    def prepare_steps(
        self, payload: bytes, candidates: Iterable[SignedBundle]
    ) -> Steps[SignedBundle | None]:
        """Open a record in steps and keep the result for ``open``.

        A delta is tried against each candidate. Returns ``None`` if the record
        is invalid or no candidate is its base.
        """
        found = self._prepared.get(payload)
        if found is not None and isinstance(found.result, SignedBundle):
            return found.result
        for before in (*candidates, None):
            try:
                signed = yield from open_steps(payload, self._keys, before)
            except BaseMismatchError:
                continue
            except FailureError as error:
                base = before.text_digest if before else b''
                self._store(payload, _Prepared(base, error))
                return None
            self._store(payload, _Prepared(signed.base, signed))
            return signed
        return None

    def forget(self, kept: bytes | None) -> None:
        """Drop all results except that of the payload ``kept``."""
        self._prepared = {
            payload: found
            for payload, found in self._prepared.items()
            if payload == kept
        }

    def _store(self, payload: bytes, found: _Prepared) -> None:
        self._prepared[payload] = found
        if len(self._prepared) > PREPARED_LIMIT:
            self._prepared.pop(next(iter(self._prepared)))


def _applies_to(found: _Prepared, before: SignedBundle | None) -> bool:
    if not found.base:
        return True
    return before is not None and before.text_digest == found.base
