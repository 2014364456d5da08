"""HTTP/1.1 on asyncio streams, and a loopback proxy that harms connections."""

import asyncio
import socket
import struct


class Server:
    """Serves handle(method, path, query, headers, body) -> (status, body).

    A handler returns None to close the connection without an answer.
    """

    def __init__(self, handle):
        self.handle = handle

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{host}:{self.port}"

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = dict(
                    (name.lower(), value.strip()) for name, value in
                    (line.split(":", 1) for line in lines[1:] if line))
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                path, _, rest = target.partition("?")
                query = dict(part.split("=", 1)
                             for part in rest.split("&") if "=" in part)
                answer = await self.handle(method, path, query, headers, body)
                if answer is None:
                    break
                status, content = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(content)) + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass  # The caller has gone, or speaks no HTTP.
        finally:
            writer.close()


class Client:
    """One kept connection; a request has a time limit."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.writer = None

    async def request(self, method, target, headers, body=b"", limit=3.0):
        """(status, headers, body), or None without a whole answer."""
        try:
            return await asyncio.wait_for(
                self._request(method, target, headers, body), limit)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                ValueError):
            self.close()
            return None

    async def _request(self, method, target, headers, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port)
        lines = [f"{method} {target} HTTP/1.1",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        rows = head.split("\r\n")
        found = dict((name.lower(), value.strip()) for name, value in
                     (row.split(":", 1) for row in rows[1:] if row))
        content = await self.reader.readexactly(
            int(found.get("content-length", "0")))
        if found.get("connection", "").lower() == "close":
            self.close()
        return int(rows[0].split(" ")[1]), found, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Proxy:
    """Forwards to one address.

    Modes: "ok"; "delay" (each piece waits `delay` seconds); "silent" (nothing
    passes either way); "one_way" (answers are lost); "reset" (connections are
    reset, new ones at once).
    """

    def __init__(self, target):
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.mode = "ok"
        self.delay = 0.2
        self.writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                self._reset(writer)

    @staticmethod
    def _reset(writer):
        sock = writer.get_extra_info("socket")
        if sock is not None and not writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        writer.close()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            return self._reset(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.port)
        except OSError:
            return writer.close()
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(self._pump(reader, far_writer, False),
                                 self._pump(far_reader, writer, True))
        finally:
            self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                if self.mode == "silent" or (
                        self.mode == "one_way" and is_answer):
                    # A connection that has lost bytes carries nothing more.
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # Reset by either side.
        finally:
            writer.close()
