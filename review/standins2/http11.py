"""A small HTTP/1.1 server and client for the stand-ins, on the standard library alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

REASON = "status"


class Request(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A response; `body` may be raw bytes or a value to be sent as JSON."""

    status: int
    body: object = b""


Handler = Callable[[Request], Awaitable[Answer | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def serve(handler: Handler, host: str = "127.0.0.1") -> tuple[asyncio.AbstractServer, int]:
    """Serve requests at a free port; the channel breaks if the handler returns None."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
                answer = await handler(Request(method, parts.path, query, headers, body))
                if answer is None:
                    return
                raw = answer.body
                if not isinstance(raw, bytes):
                    raw = json.dumps(raw).encode()
                text = f"HTTP/1.1 {answer.status} {REASON}\r\nContent-Length: {len(raw)}\r\n\r\n"
                writer.write(text.encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The other side has closed the channel, or the case has ended.
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(talk, host, 0, limit=1 << 24)
    return server, server.sockets[0].getsockname()[1]


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    *,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, object]:
    """Send one request on a new channel; return status and body, status 0 without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                raw = b"" if body is None else json.dumps(body).encode()
                lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(raw)}"]
                named = {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json"}
                named.update(headers or {})
                lines += [f"{name}: {value}" for name, value in named.items()]
                writer.write("\r\n".join([*lines, "", ""]).encode() + raw)
                first, answered = await _read_head(reader)
                text = await reader.readexactly(int(answered.get("content-length", "0")))
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    try:
        value = json.loads(text) if text else None
    except ValueError:
        value = text.decode(errors="replace")
    return int(first.split(" ")[1]), value
