"""HTTP/1.1 on asyncio streams, and a proxy that disrupts connections."""

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
            pass  # The caller closed the connection or sent invalid HTTP.
        finally:
            writer.close()


class Client:
    """A client with one persistent connection and a timeout per request."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.writer = None

    async def request(self, method, target, headers, body=b"", limit=3.0):
        """Returns (status, headers, body), or None if no complete response
        arrived within `limit` seconds."""
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
        response_lines = head.split("\r\n")
        response_headers = dict(
            (name.lower(), value.strip()) for name, value in
            (line.split(":", 1) for line in response_lines[1:] if line))
        content = await self.reader.readexactly(
            int(response_headers.get("content-length", "0")))
        if response_headers.get("connection", "").lower() == "close":
            self.close()
        return int(response_lines[0].split(" ")[1]), response_headers, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Proxy:
    """Forwards connections to one address.

    Modes: "ok"; "delay" (each chunk is delayed by `delay` seconds); "silent"
    (nothing is forwarded in either direction); "one_way" (responses are
    dropped); "reset" (open connections are reset, and new ones on arrival).
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
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port)
        except OSError:
            return writer.close()
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self._forward(reader, target_writer, False),
                                 self._forward(target_reader, writer, True))
        finally:
            self.writers -= {writer, target_writer}

    async def _forward(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                if self.mode == "silent" or (
                        self.mode == "one_way" and is_answer):
                    # After dropping bytes nothing more may be forwarded, or
                    # the stream would be corrupt.
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # Reset by either side.
        finally:
            writer.close()
