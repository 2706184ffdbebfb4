"""Addresses of rows and messages: an invalid one is an error, and nothing connects to it."""

from __future__ import annotations

import json
import socket
from typing import Any

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limedeck import addresses, clock, errors, http_client
from limedeck.node import connections
from limedeck.platform import messages
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

pytestmark = pytest.mark.anyio
INVALID = [
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:80\n",
    "127.0.0.1:٨٠",
    "127.0.0.1:80:80",
    "256.0.0.1:80",
    "127.0.0.999:80",
    "127.0.0:80",
    "1.2.3.4.5:80",
    "0177.0.0.1:80",
    "127.0.0.01:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "localhost:80",
    "[::1]:80",
    "::1:80",
    "9" * 60_000,
]
SETTLING_SECONDS = 0.2
"""Time in which a connection that was opened by mistake arrives at its listener."""


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": request.param}


def entry(address: str) -> bytes:
    """Return a back end's entry, valid but for its address."""
    body = {
        "address": address,
        "info": {"backend": "s", "version": "v1", "zone": "z1", "slots": 2},
        "status": {"state": "ready", "sequence": 1, "warmup_s_time": 0.0},
    }
    return json.dumps(body).encode()


@given(st.integers(0, 300), st.integers(0, 300), st.integers(0, 99_999))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_only_numbers_in_range_make_an_address(first: int, last: int, port: int) -> None:
    text = f"{first}.1.2.{last}:{port}"
    is_valid = first <= 223 and last <= 255 and 1 <= port <= 65_535
    try:
        assert addresses.parse_address(text) == (f"{first}.1.2.{last}", port)
        assert is_valid
    except addresses.InvalidAddress as error:
        assert not is_valid
        assert len(str(error)) < 200


# Guards against callers' requests at another process: port 70000 was taken modulo 65,536.
@pytest.mark.parametrize("address", INVALID, ids=lambda text: text[:20] or "empty")
def test_entry_whose_address_is_out_of_range_names_no_back_end(address: str) -> None:
    with pytest.raises(errors.PlatformProtocolError) as caught:
        messages.read_backend("i-1", entry(address))
    assert len(str(caught.value)) < 300


def test_entry_with_the_largest_numbers_in_range_names_a_back_end() -> None:
    backend = messages.read_backend("i-1", entry("223.255.255.255:65535"))
    assert backend.address == "223.255.255.255:65535"


# Guards against requests that reach whichever process listens at the port modulo 65,536.
@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:{beyond}", "0.0.0.0:{port}", "0177.0.0.1:{port}", "127.1:{port}"],
    ids=["port-out-of-range", "unspecified", "octal", "short"],
)
async def test_no_connection_is_opened_to_an_invalid_address(address: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        text = address.format(port=port, beyond=port + 65_536)
        listener.setblocking(False)
        client = http_client.HttpClient("127.0.0.1")
        request = http_client.HttpRequest(text, b"GET", b"/", [])
        with pytest.raises(AttemptFailed) as caught:
            await client.exchange(request, clock.steady_clock() + 1.0)
        assert caught.value.phase is FailurePhase.NOT_CONNECTED
        with pytest.raises(AttemptFailed):
            await client.try_connect(text, clock.steady_clock() + 1.0)
        with pytest.raises(connections.CONNECTION_ERRORS):
            await connections.connect_to_node(text, "127.0.0.1")
        await anyio.sleep(SETTLING_SECONDS)
        with pytest.raises(BlockingIOError):
            listener.accept()
