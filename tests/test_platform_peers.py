"""Envelopes and configuration copies between entries, over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from zincwell.dispatch._configurations import ConfigurationManager
from zincwell.dispatch._messages import Envelope, Ping, Receipt
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import Configuration, EntryInfo, Route
from zincwell.dispatch.ports import PeerCallError
from zincwell.platform._http import HttpClient
from zincwell.platform._peers import MAX_ENVELOPE_BYTES, HttpPeerClient, PeerListener
from zincwell.platform._server import HttpServer

TIMEOUT_S = 5.0
ME = EntryInfo(name="me", address="me", zone="a", incarnation="me-0")


class Receiver:
    """The parts of a node that the listener uses."""

    def __init__(self, client: HttpPeerClient) -> None:
        self.configurations = ConfigurationManager(client=client, metrics=Metrics())
        self.envelopes: list[Envelope] = []

    def receive(self, envelope: Envelope) -> Receipt:
        self.envelopes.append(envelope)
        return Receipt(receiver=ME, version=self.configurations.version())


@pytest.fixture
async def client() -> AsyncIterator[HttpPeerClient]:
    """A client that calls other entries."""
    http = HttpClient()
    yield HttpPeerClient(http=http)
    http.close()


@pytest.fixture
async def receiver(client: HttpPeerClient) -> AsyncIterator[Receiver]:
    """An entry that listens at ``receiver.address``."""
    receiver = Receiver(client)
    listener = PeerListener(node=receiver)
    server = HttpServer(handler=listener.handle, body_limit=lambda: MAX_ENVELOPE_BYTES)
    receiver.address = await server.listen("127.0.0.1:0")
    yield receiver
    server.close()
    receiver.configurations.close()


def make_configuration(version: int, *, routes: int = 1) -> Configuration:
    """Return a configuration with a number of routes."""
    made = [
        Route(name=f"r{n}", host="h.example", prefix=f"/q{n}/", service="s") for n in range(routes)
    ]
    return Configuration(version=version, routes=made, guarded={"s": True})


async def test_an_envelope_is_delivered_unchanged(client: HttpPeerClient, receiver: Receiver):
    envelope = Envelope(sender=ME, sequence=7, sent_at=1.5, messages=[Ping()], version=3, fence=9)
    receipt = await client.deliver(receiver.address, envelope, timeout_s=TIMEOUT_S)
    assert_that(receiver.envelopes, Equals([envelope]))
    assert_that(receipt, Equals(Receipt(receiver=ME)))


async def test_a_large_configuration_is_copied_unchanged(
    client: HttpPeerClient, receiver: Receiver
):
    configuration = make_configuration(12, routes=1_400)
    receiver.configurations.apply(configuration, source="store")
    copy = await client.fetch_configuration(receiver.address, timeout_s=TIMEOUT_S)
    assert_that(copy, Equals(configuration))


async def test_a_copy_is_of_the_version_in_force(client: HttpPeerClient, receiver: Receiver):
    for version, in_force in [(2, 2), (5, 5), (4, 5)]:
        receiver.configurations.apply(make_configuration(version), source="store")
        copy = await client.fetch_configuration(receiver.address, timeout_s=TIMEOUT_S)
        assert_that(copy.version, Equals(in_force))


async def test_an_entry_without_a_configuration_responds_with_404(client, receiver: Receiver):
    with pytest.raises(PeerCallError) as caught:
        await client.fetch_configuration(receiver.address, timeout_s=TIMEOUT_S)
    assert_that(str(caught.value), Contains("404"))


@pytest.mark.parametrize("body", [b"", b"{}", b"not json", b'{"sender":7}'])
async def test_a_malformed_envelope_is_rejected(receiver: Receiver, body: bytes):
    async with aiohttp.ClientSession() as session:
        url = f"http://{receiver.address}/v1/envelopes"
        async with session.post(url, data=body) as response:
            assert_that(response.status, Equals(400))
            assert_that(await response.json(), Contains("error"))
    assert_that(receiver.envelopes, Equals([]))


async def test_an_unsupported_method_is_not_found(receiver: Receiver):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{receiver.address}/v1/envelopes") as response,
    ):
        assert_that(response.status, Equals(404))
