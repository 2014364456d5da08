"""HTTP/1.1 over asyncio streams: a server behind a link that can be cut, and a
client without retries."""

import asyncio


class Link:
    """A network path. While it is cut, new connections get no answer at all;
    bytes on open connections are held up and delivered afterwards."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    @property
    def cut(self):
        return not self._open.is_set()

    def set_cut(self, cut):
        if cut:
            self._open.clear()
        else:
            self._open.set()

    async def crossed(self):
        await self._open.wait()


class Server:
    """Serves handle(method, path, query, headers, body), which returns
    (status, body) or None for a request that is never answered."""

    def __init__(self, handle, link=None):
        self.handle = handle
        self.link = link or Link()
        self.connections = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        port = self.server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        if self.link.cut:
            # The connection would not have been established.
            await asyncio.sleep(3600)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {name.lower(): value.strip() for name, value in
                           (line.split(":", 1) for line in lines[1:] if line)}
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                await self.link.crossed()
                path, _, rest = target.partition("?")
                query = dict(part.split("=", 1)
                             for part in rest.split("&") if "=" in part)
                answer = await self.handle(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                await self.link.crossed()
                status, content = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n"
                             b"Content-Type: application/json\r\n\r\n"
                             % (status, len(content)) + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller has closed the connection.
        finally:
            writer.close()


async def request(address, method, path, headers, body=b"", limit=3.0):
    """Sends one request on a new connection. Returns (status, body), or None
    if there was no complete answer within `limit` seconds; the connection is
    then closed."""
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {path} HTTP/1.1",
                 f"Content-Length: {len(body)}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {name.lower(): value.strip() for name, value in
                  (line.split(":", 1) for line in lines[1:] if line)}
        content = await reader.readexactly(
            int(fields.get("content-length", "0")))
        return int(lines[0].split(" ")[1]), content

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
