"""Bundle records opened ahead of their judgement, in steps."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .bundles import Steps, finish
from .outcomes import FailureError
from .signatures import KeyRing, OtherBaseError, SignedBundle, open_steps

#: Results kept until they are used; a read of the log holds few records.
PREPARED_LIMIT = 64


@dataclass(frozen=True, slots=True)
class _Prepared:
    """What became of a payload; ``base`` is empty if it fits any."""

    base: bytes
    result: SignedBundle | FailureError


class Opener:
    """Opens records, or returns what was prepared for the same payload.

    A prepared result equals that of opening at once, so it changes only the
    time that a judgement takes. Results are kept by the payload and not by
    its digest: a damaged copy of a record has the digest of the intact one.
    """

    def __init__(self, keys: KeyRing | Mapping[str, str]) -> None:
        """Start with nothing prepared."""
        self._keys = keys
        self._prepared: dict[bytes, _Prepared] = {}

    def open(
        self, payload: bytes, before: SignedBundle | None = None
    ) -> SignedBundle:
        """Return the bundle of a record; raises as ``open_steps`` does."""
        found = self._prepared.get(payload)
        if found is None or not _fits(found, before):
            return finish(open_steps(payload, self._keys, before))
        if isinstance(found.result, FailureError):
            raise found.result
        return found.result

    def prepare_steps(
        self, payload: bytes, candidates: Iterable[SignedBundle]
    ) -> Steps[SignedBundle | None]:
        """Open a record in steps against each candidate that may fit."""
        found = self._prepared.get(payload)
        if found is not None and isinstance(found.result, SignedBundle):
            return found.result
        for before in (*candidates, None):
            try:
                signed = yield from open_steps(payload, self._keys, before)
            except OtherBaseError:
                continue
            except FailureError as error:
                base = before.text_digest if before else b''
                self._keep(payload, _Prepared(base, error))
                return None
            self._keep(payload, _Prepared(signed.base, signed))
            return signed
        return None

    def forget(self, kept: bytes | None) -> None:
        """Drop all results but that of one payload."""
        self._prepared = {
            payload: found
            for payload, found in self._prepared.items()
            if payload == kept
        }

    def _keep(self, payload: bytes, found: _Prepared) -> None:
        self._prepared[payload] = found
        if len(self._prepared) > PREPARED_LIMIT:
            self._prepared.pop(next(iter(self._prepared)))


def _fits(found: _Prepared, before: SignedBundle | None) -> bool:
    if not found.base:
        return True
    return before is not None and before.text_digest == found.base
