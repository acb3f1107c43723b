"""A minimal HTTP/1.1 server and client for bodies of known length, on loopback addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

REASON = "status"


@dataclass(frozen=True, kw_only=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[tuple[int, bytes]]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def serve(host: str, handler: Handler) -> tuple[asyncio.AbstractServer, int]:
    """Serve at a free port; return the server and its port."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                request = Request(
                    method=method,
                    path=url.path,
                    query=dict(parse_qsl(url.query)),
                    headers=headers,
                    body=body,
                )
                status, content = await handler(request)
                head = f"HTTP/1.1 {status} {REASON}\r\nContent-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # The client has closed the connection.
        except asyncio.CancelledError:
            pass  # The run has ended.
        finally:
            writer.close()

    server = await asyncio.start_server(accept, host, 0, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def call(
    method: str,
    address: str,
    path: str,
    *,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body.

    :raises OSError: if there is no whole response within the time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, answer_headers = await read_head(reader)
            content = await reader.readexactly(int(answer_headers.get("content-length", "0")))
            return int(first.split(" ")[1]), content
    except (TimeoutError, EOFError) as error:
        raise OSError(f"no response: {error!r}") from error
    finally:
        if writer is not None:
            writer.close()
