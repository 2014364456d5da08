"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio


class Server:
    """Serves handle(method, path, query, headers, body) -> (status, body).

    A handler that returns None closes the connection without an answer. Calls
    in progress are cancelled when the server goes down. An answer without a
    body is sent with chunked transfer coding; its last chunk arrives in the
    pieces given, as over a link that passes on few bytes at a time.
    """

    LAST_CHUNK = (b"0\r\n", b"\r", b"\n")

    def __init__(self, handle):
        self.handle, self.server, self.connections = handle, None, set()

    async def up(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port,
                                                 limit=1 << 22)
        return self.server.sockets[0].getsockname()[1]

    def down(self):
        """Refuses new connections and breaks the open ones."""
        if self.server:
            self.server.close()
            self.server = None
        for task, writer in list(self.connections):
            writer.transport.abort()
            task.cancel()

    async def _serve(self, reader, writer):
        entry = (asyncio.current_task(), writer)
        self.connections.add(entry)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {name.lower(): value.strip() for name, value in
                           (line.split(":", 1) for line in lines[1:] if line)}
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                path, _, rest = target.partition("?")
                query = dict(part.split("=", 1)
                             for part in rest.split("&") if "=" in part)
                answer = await self.handle(method, path, query, headers, body)
                if answer is None:
                    break
                await self._send(writer, *answer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass  # The caller closed the connection, or the server went down.
        finally:
            self.connections.discard(entry)
            writer.close()


    async def _send(self, writer, status, content):
        if content:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(content)) + content)
        else:
            writer.write(b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked"
                         b"\r\n\r\n" % status)
            for piece in self.LAST_CHUNK:
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(piece)
        await writer.drain()


async def request(address, method, target, headers, body=b"", limit=3.0):
    """Returns (status, body), or None if no complete answer came in time."""
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}",
                 "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = {name.lower(): value.strip() for name, value in
                  (line.split(":", 1) for line in head.split("\r\n")[1:]
                   if line)}
        content = await reader.readexactly(
            int(fields.get("content-length", "0")))
        return int(head.split(" ")[1]), content

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError):
        return None
    finally:
        if writer:
            writer.close()
