"""Certificates of a daemon for TLS, read again when their files change."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, Final

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import load_pem_private_key
from OpenSSL import SSL, crypto
from twisted.internet.interfaces import (
    IOpenSSLClientConnectionCreator,
    IOpenSSLServerConnectionCreator,
)
from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    TLSVersion,
    trustRootFromCertificates,
)
from zope.interface import implementer

from .clocks import Clock
from .outcomes import Failure, FailureError, Step
from .settings import TlsSettings

#: Larger files are refused.
FILE_LIMIT_BYTES: Final = 1024 * 1024

#: Errors of the libraries for files that cannot be used.
_UNUSABLE: Final = (
    OSError,
    ValueError,
    TypeError,
    UnsupportedAlgorithm,
    SSL.Error,
)

_Stamp = tuple[tuple[int, int, int], ...]


@dataclass(frozen=True, slots=True)
class _Contexts:
    """Contexts made from one reading of the files."""

    peers: SSL.Context
    callers: SSL.Context


class Certificates:
    """The certificate, key and authority in use.

    ``peers`` opens and accepts connections whose both ends show a certificate
    of the authority; ``callers`` accepts clients without one.
    """

    def __init__(self, files: TlsSettings, daemon: str, clock: Clock) -> None:
        """Read the files; raises ``FailureError`` at step ``settings``."""
        self._files = files
        self._daemon = daemon
        self._clock = clock
        self._stamp = _stamp(files)
        self._contexts = self._read()
        self.peers = _Creator(self, for_peers=True)
        self.callers = _Creator(self, for_peers=False)

    def refresh(self) -> bool:
        """Read the files again if they changed; return whether they did.

        Raises ``FailureError`` once for each set of files that cannot be
        used; the previous ones stay in use.
        """
        stamp = _stamp(self._files)
        if stamp == self._stamp:
            return False
        self._stamp = stamp
        self._contexts = self._read()
        return True

    def context(self, *, for_peers: bool) -> SSL.Context:
        """Return the context for a new connection."""
        if for_peers:
            return self._contexts.peers
        return self._contexts.callers

    def peer_names(self, transport: Any) -> frozenset[str]:
        """Return the names in the certificate at the other end."""
        found = transport.getPeerCertificate()
        if found is None:
            return frozenset()
        return names(found.to_cryptography())

    def _read(self) -> _Contexts:
        files = self._files
        with _blame(files.certificate):
            chain = x509.load_pem_x509_certificates(_text(files.certificate))
        with _blame(files.authority):
            known = x509.load_pem_x509_certificates(_text(files.authority))
        with _blame(files.private_key):
            key = load_pem_private_key(_text(files.private_key), None)
        with _blame(files.certificate):
            self._check(chain, known)
            return _contexts(chain, known, key)

    def _check(
        self,
        chain: list[x509.Certificate],
        authorities: list[x509.Certificate],
    ) -> None:
        own = chain[0]
        if self._daemon not in names(own):
            raise ValueError(
                f'is for {_listed(names(own))}, not for daemon {self._daemon}'
            )
        if not _is_valid_at(own, self._clock.wall()):
            raise ValueError(
                f'is valid from {own.not_valid_before_utc} '
                f'to {own.not_valid_after_utc}'
            )
        if not any(_issued(chain[-1], known) for known in authorities):
            raise ValueError('is not signed by the authority')


@implementer(IOpenSSLClientConnectionCreator, IOpenSSLServerConnectionCreator)
class _Creator:
    """Makes the TLS side of new connections."""

    def __init__(self, owner: Certificates, *, for_peers: bool) -> None:
        self._owner = owner
        self._for_peers = for_peers

    def clientConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:
        return self._connection()

    def serverConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:
        return self._connection()

    def _connection(self) -> SSL.Connection:
        context = self._owner.context(for_peers=self._for_peers)
        return SSL.Connection(context, None)


@contextmanager
def _blame(path: Path) -> Iterator[None]:
    """Name the file in the failure that its use ends with."""
    try:
        yield
    except _UNUSABLE as error:
        detail = str(error) or type(error).__name__
        failure = Failure(Step.settings, str(path), detail)
        raise FailureError(failure) from error


def names(certificate: x509.Certificate) -> frozenset[str]:
    """Return the DNS names of a certificate, or its common names."""
    try:
        extension = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
    except (x509.ExtensionNotFound, ValueError):
        found: Iterable[Any] = (
            each.value
            for each in certificate.subject.get_attributes_for_oid(
                x509.NameOID.COMMON_NAME
            )
        )
    else:
        found = extension.value.get_values_for_type(x509.DNSName)
    return frozenset(str(name) for name in found)


def _contexts(
    chain: list[x509.Certificate],
    authorities: list[x509.Certificate],
    key: Any,
) -> _Contexts:
    own, *intermediates = [crypto.X509.from_cryptography(one) for one in chain]
    roots = [
        Certificate(crypto.X509.from_cryptography(one)) for one in authorities
    ]
    private = crypto.PKey.from_cryptography_key(key)
    peers = CertificateOptions(
        private,
        own,
        extraCertChain=intermediates,
        trustRoot=trustRootFromCertificates(roots),
        raiseMinimumTo=TLSVersion.TLSv1_3,
    )
    # Systems of callers are old and will not be replaced.
    callers = CertificateOptions(
        private,
        own,
        extraCertChain=intermediates,
        insecurelyLowerMinimumTo=TLSVersion.TLSv1_2,
    )
    return _Contexts(peers.getContext(), callers.getContext())


def _text(path: Path) -> bytes:
    with path.open('rb') as stream:
        found = stream.read(FILE_LIMIT_BYTES + 1)
    if len(found) > FILE_LIMIT_BYTES:
        raise ValueError(f'larger than {FILE_LIMIT_BYTES} bytes')
    return found


def _stamp(files: TlsSettings) -> _Stamp:
    """Return what changes when a file is written or replaced."""
    return tuple(
        _file_stamp(path)
        for path in (files.certificate, files.private_key, files.authority)
    )


def _file_stamp(path: Path) -> tuple[int, int, int]:
    try:
        found = path.stat()
    except OSError:
        return 0, 0, 0
    return found.st_mtime_ns, found.st_size, found.st_ino


def _is_valid_at(certificate: x509.Certificate, now: datetime) -> bool:
    until = certificate.not_valid_after_utc
    return certificate.not_valid_before_utc <= now <= until


def _issued(certificate: x509.Certificate, issuer: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(issuer)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True


def _listed(found: frozenset[str]) -> str:
    return ', '.join(sorted(found)) or 'nobody'
