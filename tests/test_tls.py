"""TLS on all listeners, configured by settings alone.

The certificates in ``tests/certificates`` are made with openssl for 127.0.0.1 and valid for a
hundred years; the key of the authority is not kept.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Contains, ContainsAll, Equals, StartsWith

from tests.cluster import Cluster
from tests.lone import TOKEN
from tests.samples import make_submission
from tests.test_cli import FAILED, OK, run
from zincwell.adapters import HttpPeerTransport, make_client_tls
from zincwell.exceptions import PeerUnavailableError

CERTIFICATES = Path(__file__).parent / "certificates"
AUTHORITY = CERTIFICATES / "authority.pem"
OTHER_AUTHORITY = CERTIFICATES / "other_authority.pem"
LISTENER = {
    "host": "127.0.0.1",
    "tls_cert": str(CERTIFICATES / "listener.pem"),
    "tls_key": str(CERTIFICATES / "listener.key"),
}
PEER_KEY = "a-long-key-of-the-peers"


@pytest.fixture
def secrets(tmp_path: Path) -> dict[str, str]:
    """Write the peers' key and the operators' token; return the settings that name the files."""
    peer_key, token = tmp_path / "peer.key", tmp_path / "token.txt"
    peer_key.write_text(PEER_KEY)
    token.write_text(TOKEN)
    return {"peer_key_file": str(peer_key), "operator_token_file": str(token)}


@pytest.fixture
async def tls_cluster(tmp_path: Path, secrets: dict[str, str]) -> AsyncIterator[Cluster]:
    """Provide a cluster that uses TLS on all listeners and requires all secrets."""
    trust = ssl.create_default_context(cafile=str(AUTHORITY))
    headers = {"Authorization": f"Bearer {TOKEN}"}
    connector = aiohttp.TCPConnector(ssl=trust)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        cluster = Cluster(folder=tmp_path, session=session)
        cluster.settings = {
            "callers": LISTENER,
            "peers": LISTENER,
            "operators": LISTENER,
            "peers_url": "",
            "ca_file": str(AUTHORITY),
            **secrets,
        }
        try:
            yield cluster
        finally:
            await cluster.close()


async def test_submission_over_tls_with_its_home_at_a_peer(tls_cluster: Cluster):
    """Entries claim keys from each other over TLS with the peers' key."""
    await tls_cluster.open(domains={"kariakoo": (2, 1)})
    one, other = tls_cluster.entry_by_vm.values()
    keys = [f"kariakoo/{n}" for n in range(100)]
    remote = next(key for key in keys if tls_cluster.home_of(key).vm == other.vm)

    submission = make_submission(key=remote)
    status, answer = await tls_cluster.submit(one, submission)
    again = await tls_cluster.resend(other, submission)

    urls = [one.callers, one.operators, one.fields["peers"]]
    assert_that(urls, AllMatch(StartsWith("https://")))
    assert_that((status, answer["outcome"]), Equals((200, "completed")))
    assert_that(again, Equals(answer))


async def test_peer_with_a_certificate_of_another_authority_is_not_trusted(tls_cluster: Cluster):
    """An entry sends the peers' key only to a listener with a certificate of its authority.

    Failure: whoever takes over an address learns the peers' key. An entry calls a listener whose
    certificate is signed by another authority, and does not verify the certificate.
    """
    await tls_cluster.open(domains={"kariakoo": (1, 0)})
    url = tls_cluster.entry_by_vm["entry-0"].fields["peers"]

    trusted = await call_peer(url, ca_file=AUTHORITY)

    assert_that(trusted, Contains(b"entry-0"))
    for ca_file in (OTHER_AUTHORITY, ""):
        with pytest.raises(PeerUnavailableError, match="CERTIFICATE_VERIFY_FAILED"):
            await call_peer(url, ca_file=ca_file)


async def call_peer(url: str, *, ca_file: Path | str) -> bytes:
    """Request ``/peer/state`` from a peers' listener, as an entry does."""
    connector = aiohttp.TCPConnector(ssl=make_client_tls(str(ca_file)))
    async with aiohttp.ClientSession(connector=connector) as session:
        transport = HttpPeerTransport(session=session, key=PEER_KEY)
        return await transport.call(url=url, path="/peer/state", body=b"{}", timeout_s=5.0)


async def test_peer_call_without_the_key_is_refused(tls_cluster: Cluster):
    await tls_cluster.open(domains={"kariakoo": (1, 0)})
    url = tls_cluster.entry_by_vm["entry-0"].fields["peers"] + "/peer/state"
    for key in ({}, {"X-Zincwell-Key": "wrong"}):
        async with tls_cluster.session.post(url, headers=key) as response:
            assert_that(response.status, Equals(403))
    async with tls_cluster.session.post(url, headers={"X-Zincwell-Key": PEER_KEY}) as response:
        assert_that(response.status, Equals(200))


async def test_command_line_over_tls(tls_cluster: Cluster, secrets: dict[str, str]):
    await tls_cluster.open(domains={"kariakoo": (1, 0)})
    url = tls_cluster.entry_by_vm["entry-0"].operators
    token = f"--token-file={secrets['operator_token_file']}"

    trusting = await run("status", url, token, f"--ca-file={AUTHORITY}")
    unaware = await run("status", url, token)
    missing = await run("status", url, token, "--ca-file=nowhere.pem")

    assert_that(trusting.code, Equals(OK))
    assert_that((unaware.code, missing.code), Equals((FAILED, FAILED)))
    assert_that(unaware.err, Contains("certificate verify failed"))
    assert_that(missing.err, Contains("nowhere.pem"))


async def test_console_cookie_is_secure(tls_cluster: Cluster):
    await tls_cluster.open(domains={"kariakoo": (1, 0)})
    url = tls_cluster.entry_by_vm["entry-0"].operators + "/console/sign-in"
    form = {"name": "juma", "token": TOKEN}
    async with tls_cluster.session.post(url, data=form, allow_redirects=False) as response:
        assert_that(response.headers["Set-Cookie"], ContainsAll(["Secure", "HttpOnly"]))


async def test_silent_tls_connection_does_not_block_others(tls_cluster: Cluster):
    """A connection that sends no TLS handshake does not block other connections.

    Failure: a listener stops answering. A client connects and sends nothing, and the listener
    waits for the handshake before it accepts the next connection.
    """
    await tls_cluster.open(domains={"kariakoo": (1, 0)})
    entry = tls_cluster.entry_by_vm["entry-0"]
    host, port = entry.callers.removeprefix("https://").split(":")
    silent = [await asyncio.open_connection(host, int(port)) for _ in range(5)]

    answer = await tls_cluster.get(entry.callers + "/ready")

    assert_that(answer, Equals({"ready": True}))
    for _, writer in silent:
        writer.close()


@pytest.mark.parametrize("name", ["missing.pem", "empty.pem"])
async def test_certificate_or_authority_that_can_not_be_read(tmp_path: Path, name: str):
    path = tmp_path / name
    if name == "empty.pem":
        path.write_text("")
    head = 'vm = "a"\ndomain = "b"\n'
    platform = '[platform]\nlog_url = "http://127.0.0.1:1"\ndirectory_url = "http://127.0.0.1:1"\n'
    for lines in (
        f'{head}ca_file = "{path}"\n{platform}',
        f'{head}{platform}[callers]\ntls_cert = "{path}"\n',
    ):
        settings = tmp_path / "entry.toml"
        settings.write_text(lines)
        refused = await run("entry", settings)
        assert_that(refused.code, Equals(FAILED))
        assert_that(refused.err, Contains(str(path)))
