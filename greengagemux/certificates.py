"""TLS certificates of a daemon, reloaded when their files change."""

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

#: Larger files are rejected.
FILE_LIMIT_BYTES: Final = 1024 * 1024

#: Errors that the libraries raise for unusable files.
_UNUSABLE_FILE_ERRORS: Final = (
    OSError,
    ValueError,
    TypeError,
    UnsupportedAlgorithm,
    SSL.Error,
)

_FileVersions = tuple[tuple[int, int, int], ...]


@dataclass(frozen=True, slots=True)
class _Contexts:
    """TLS contexts built from one reading of the files."""

    peers: SSL.Context
    callers: SSL.Context


class Certificates:
    """The certificate, key and authority in use.

    ``peers`` creates connections with mutual TLS: both ends need a certificate
    signed by the authority. ``callers`` accepts clients without one.
    """

    def __init__(self, files: TlsSettings, daemon: str, clock: Clock) -> None:
        """Read the files; raises ``FailureError`` at step ``settings``."""
        self._files = files
        self._daemon = daemon
        self._clock = clock
        self._file_versions = _file_versions(files)
        self._contexts = self._read()
        self.peers = _ConnectionCreator(self, for_peers=True)
        self.callers = _ConnectionCreator(self, for_peers=False)

    def refresh(self) -> bool:
        """Reload the files if they changed; return whether they did.

        Raises ``FailureError`` once for each unusable change; the previous
        certificates stay in use.
        """
        versions = _file_versions(self._files)
        if versions == self._file_versions:
            return False
        self._file_versions = versions
        self._contexts = self._read()
        return True

    def context(self, *, for_peers: bool) -> SSL.Context:
        """Return the TLS context for a new connection."""
        if for_peers:
            return self._contexts.peers
        return self._contexts.callers

    def peer_names(self, transport: Any) -> frozenset[str]:
        """Return the names in the certificate of the other end."""
        certificate = transport.getPeerCertificate()
        if certificate is None:
            return frozenset()
        return names(certificate.to_cryptography())

    def _read(self) -> _Contexts:
        files = self._files
        with _failures_of(files.certificate):
            chain = x509.load_pem_x509_certificates(
                _read_file(files.certificate)
            )
        with _failures_of(files.authority):
            authorities = x509.load_pem_x509_certificates(
                _read_file(files.authority)
            )
        with _failures_of(files.private_key):
            key = load_pem_private_key(_read_file(files.private_key), None)
        with _failures_of(files.certificate):
            self._check(chain, authorities)
            return _contexts(chain, authorities, key)

    def _check(
        self,
        chain: list[x509.Certificate],
        authorities: list[x509.Certificate],
    ) -> None:
        own = chain[0]
        if self._daemon not in names(own):
            raise ValueError(
                f'is for {_join_names(names(own))}, '
                f'not for daemon {self._daemon}'
            )
        if not _is_valid_at(own, self._clock.wall()):
            raise ValueError(
                f'is valid from {own.not_valid_before_utc} '
                f'to {own.not_valid_after_utc}'
            )
        if not any(
            _is_issued_by(chain[-1], authority) for authority in authorities
        ):
            raise ValueError('is not signed by the authority')


@implementer(IOpenSSLClientConnectionCreator, IOpenSSLServerConnectionCreator)
class _ConnectionCreator:
    """Creates the TLS layer of new connections."""

    def __init__(self, certificates: Certificates, *, for_peers: bool) -> None:
        self._certificates = certificates
        self._for_peers = for_peers

    def clientConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:
        return self._connection()

    def serverConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:
        return self._connection()

    def _connection(self) -> SSL.Connection:
        context = self._certificates.context(for_peers=self._for_peers)
        return SSL.Connection(context, None)


@contextmanager
def _failures_of(path: Path) -> Iterator[None]:
    """Raise library errors as ``FailureError`` with the path of the file."""
    try:
        yield
    except _UNUSABLE_FILE_ERRORS as error:
        detail = str(error) or type(error).__name__
        failure = Failure(Step.settings, str(path), detail)
        raise FailureError(failure) from error


def names(certificate: x509.Certificate) -> frozenset[str]:
    """Return the DNS names of a certificate, or else its common names."""
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
    # Some callers are old systems without TLS 1.3 that will not be replaced.
    callers = CertificateOptions(
        private,
        own,
        extraCertChain=intermediates,
        insecurelyLowerMinimumTo=TLSVersion.TLSv1_2,
    )
    return _Contexts(peers.getContext(), callers.getContext())


def _read_file(path: Path) -> bytes:
    with path.open('rb') as stream:
        content = stream.read(FILE_LIMIT_BYTES + 1)
    if len(content) > FILE_LIMIT_BYTES:
        raise ValueError(f'larger than {FILE_LIMIT_BYTES} bytes')
    return content


def _file_versions(files: TlsSettings) -> _FileVersions:
    """Return values that change when a file is written or replaced."""
    return tuple(
        _file_version(path)
        for path in (files.certificate, files.private_key, files.authority)
    )


def _file_version(path: Path) -> tuple[int, int, int]:
    try:
        status = path.stat()
    except OSError:
        return 0, 0, 0
    return status.st_mtime_ns, status.st_size, status.st_ino


def _is_valid_at(certificate: x509.Certificate, now: datetime) -> bool:
    until = certificate.not_valid_after_utc
    return certificate.not_valid_before_utc <= now <= until


def _is_issued_by(
    certificate: x509.Certificate, issuer: x509.Certificate
) -> bool:
    try:
        certificate.verify_directly_issued_by(issuer)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True


def _join_names(listed: frozenset[str]) -> str:
    return ', '.join(sorted(listed)) or 'nobody'
