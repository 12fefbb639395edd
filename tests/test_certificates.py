"""TLS between daemons and towards callers, on real sockets."""

import ssl
from collections.abc import Callable, Iterator
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from pathlib import Path
from threading import Thread
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from sockets import Client, reactor, turn, run_reactor_until
from test_listeners import _Edge
from test_streams import _Hub

from greengagemux import httpcalls
from greengagemux.addresses import Address
from greengagemux.certificates import Certificates
from greengagemux.clocks import SystemClock
from greengagemux.events import PeerMessage, StreamClosed, StreamOpened
from greengagemux.ids import DaemonId, RequestId
from greengagemux.listeners import listen
from greengagemux.messages import Refusal
from greengagemux.outcomes import FailureError, Outcome, Reason
from greengagemux.settings import TlsSettings

_LOCAL = Address('127.0.0.1', 0)


class _Authority:
    """A certificate authority that writes PEM files."""

    def __init__(self, directory: Path, name: str = 'fleet') -> None:
        self.directory = directory
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self.path = directory / f'{name}.pem'
        self.path.write_bytes(self._sign(name, self.key, authority=True))

    def issue(self, daemon: str, place: str = '', days: int = 1) -> TlsSettings:
        key = ec.generate_private_key(ec.SECP256R1())
        stem = place or daemon
        files = TlsSettings(
            certificate=self.directory / f'{stem}.crt',
            private_key=self.directory / f'{stem}.key',
            authority=self.path,
        )
        files.certificate.write_bytes(self._sign(daemon, key, days=days))
        files.private_key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return files

    def _sign(
        self, name: str, key: Any, days: int = 1, *, authority: bool = False
    ) -> bytes:
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(
                x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
            )
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=9))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(authority, None), True)
        )
        if not authority:
            names = x509.SubjectAlternativeName([x509.DNSName(name)])
            builder = builder.add_extension(names, False)
        signed = builder.sign(self.key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)


@pytest.fixture(name='fleet')
def _fleet(tmp_path: Path) -> _Authority:
    return _Authority(tmp_path)


@pytest.fixture(name='hub_of')
def _hub_of() -> Iterator[Callable[..., _Hub]]:
    made: list[_Hub] = []

    def build(files: TlsSettings, daemon: str = 'own-1') -> _Hub:
        made.append(_Hub(_certificates(files, daemon), daemon))
        return made[-1]

    yield build
    for hub in made:
        hub.hub.stop()
    turn()


def _certificates(files: TlsSettings, daemon: str) -> Certificates:
    return Certificates(files, daemon, SystemClock())


def _handshake(port: Any, context: ssl.SSLContext) -> bytes:
    """Return the first bytes that a server sends over TLS, if any."""
    client = Client(port)
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    tls = context.wrap_bio(incoming, outgoing)
    decrypted = bytearray()
    with suppress(ssl.SSLError):
        while not (decrypted or client.ended):
            start = len(client.received)
            client.read()
            incoming.write(client.received[start:])
            with suppress(ssl.SSLWantReadError):
                tls.do_handshake()
                decrypted += tls.read(100)
            client.send(outgoing.read())
            turn(1)
    client.send(outgoing.read())
    client.socket.close()
    return bytes(decrypted)


def _client(authority: Path, files: TlsSettings | None) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=authority)
    context.check_hostname = False
    if files is not None:
        context.load_cert_chain(files.certificate, files.private_key)
    return context


def _connect(first: _Hub, second: _Hub) -> None:
    """Open a stream from one hub to another, whose daemon is ``peer-1``."""
    address = Address('127.0.0.1', second.port.getHost().port)
    first.hub.open(DaemonId('peer-1'), address)
    run_reactor_until(
        lambda: first.of(StreamOpened) and second.of(StreamOpened)
    )


def test_peers_with_certificates_of_the_authority(
    fleet: _Authority, hub_of: Callable[..., _Hub]
) -> None:
    """Daemons of one fleet must be able to connect over TLS."""
    first = hub_of(fleet.issue('own-1'))
    second = hub_of(fleet.issue('peer-1'), 'peer-1')
    _connect(first, second)
    assert not first.failures + second.failures


def test_stop_ends_a_stream_after_its_last_message(
    fleet: _Authority, hub_of: Callable[..., _Hub]
) -> None:
    """A stop must not cut off a long message, nor leave the stream open."""
    first = hub_of(fleet.issue('own-1'))
    second = hub_of(fleet.issue('peer-1'), 'peer-1')
    _connect(first, second)
    last = Refusal(
        RequestId(1), Reason.draining, Outcome.not_run, detail='x' * 1_000_000
    )
    first.hub.send(first.of(StreamOpened)[0].stream, last)
    first.hub.stop()
    run_reactor_until(
        lambda: first.of(StreamClosed) and second.of(StreamClosed)
    )
    assert [each.message for each in second.of(PeerMessage)] == [last]


@pytest.mark.parametrize('kind', ['none', 'foreign', 'expired', 'plain'])
def test_peer_without_a_valid_certificate_gets_nothing(
    fleet: _Authority, hub_of: Callable[..., _Hub], kind: str
) -> None:
    """An unauthenticated peer must receive no message, and be counted.

    The hello, too, must not be sent to it.
    """
    hub = hub_of(fleet.issue('own-1'))
    if kind == 'plain':
        Client(hub.port).send(b'\0\0\0\1' * 20).read_all()
    else:
        files = None
        if kind == 'foreign':
            files = _Authority(fleet.directory, 'other').issue('peer-1')
        elif kind == 'expired':
            files = fleet.issue('peer-1', days=-1)
        assert not _handshake(hub.port, _client(fleet.path, files))
    run_reactor_until(lambda: hub.failures)
    assert 'ended before hello' in hub.failure.detail
    assert not hub.of(StreamOpened)


def test_name_must_equal_the_daemon_id(
    fleet: _Authority, hub_of: Callable[..., _Hub]
) -> None:
    """A daemon must not use the ID of another daemon."""
    hub = hub_of(fleet.issue('own-1'))
    impostor = _Hub(_certificates(fleet.issue('peer-1'), 'peer-1'), 'peer-2')
    address = Address('127.0.0.1', hub.port.getHost().port)
    impostor.hub.open(DaemonId('own-1'), address)
    run_reactor_until(lambda: hub.failures)
    assert 'certificate is for peer-1, not peer-2' in str(hub.failures[0])
    assert not hub.of(StreamOpened)
    impostor.hub.stop()
    turn()


@pytest.mark.parametrize(
    ('damage', 'text'),
    [
        ('noise', 'own-1.crt: .'),
        ('name', 'is for peer-1, not for daemon own-1'),
        ('expired', 'is valid from'),
        ('foreign', 'not signed by the authority'),
        ('key', 'own-1.crt: .'),
        ('missing', 'own-1.key: .'),
    ],
)
def test_bad_new_file_is_reported_and_the_old_one_kept(
    fleet: _Authority, damage: str, text: str
) -> None:
    """An unusable new file must be reported once, and the old ones stay used.

    Otherwise a failed rotation would close the daemon to callers.
    """
    files = fleet.issue('own-1')
    used = _certificates(files, 'own-1')
    before = used.context(for_peers=True)
    if damage == 'noise':
        files.certificate.write_bytes(b'-----BEGIN CERTIFICATE-----\nx')
    elif damage == 'name':
        fleet.issue('peer-1', 'own-1')
    elif damage == 'expired':
        fleet.issue('own-1', days=-1)
    elif damage == 'foreign':
        _Authority(fleet.directory, 'other').issue('own-1')
    elif damage == 'key':
        kept = files.private_key.read_bytes()
        fleet.issue('own-1')
        files.private_key.write_bytes(kept)
    else:
        files.private_key.unlink()
    with pytest.raises(FailureError, match=text) as caught:
        used.refresh()
    assert str(fleet.directory) in caught.value.failure.peer
    assert not used.refresh()
    assert used.context(for_peers=True) is before
    fleet.issue('own-1')
    assert used.refresh()
    assert used.context(for_peers=True) is not before


def test_callers_need_no_certificate_and_see_the_new_one(
    fleet: _Authority,
) -> None:
    """New connections must use a new certificate without a restart."""
    edge = _Edge()
    used = _certificates(fleet.issue('own-1'), 'own-1')
    port = listen(reactor, _LOCAL, edge.listener, used.callers)
    url = f'https://127.0.0.1:{port.getHost().port}/stock/1'
    for authority in (fleet, _Authority(fleet.directory, 'next')):
        authority.issue('own-1')
        if authority is not fleet:
            fleet.path.write_bytes(authority.path.read_bytes())
        assert used.refresh()
        replies: list[httpcalls.Reply] = []
        Thread(target=_ask, args=(url, authority.path, replies)).start()
        count = len(edge.requests) + 1
        edge.answer(count)
        run_reactor_until(lambda: replies)
        assert replies[0].body == b'answer to /stock/1'
    with pytest.raises(httpcalls.UnreachableError, match='No such file'):
        httpcalls.call('GET', url, authority=fleet.directory / 'none')
    port.stopListening()
    edge.listener.release(accept=False)
    turn()


def _ask(url: str, authority: Path, replies: list[httpcalls.Reply]) -> None:
    replies.append(httpcalls.call('GET', url, authority=authority))
