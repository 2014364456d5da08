"""Misbehaving clients. A shape is what each client of a crowd does; a target is
the port, path and headers that it uses.

All clients of a crowd connect first and then send at the same time. A client
that is refused or disconnected does not come back.
"""

import asyncio
import random
import socket
from collections import Counter

from .deployment import CALLER_PORT, KEY, METRICS_PORT, PEER_PORT, \
    READINESS_PORT

LEGAL_BODY_BYTES = 250_000      # The limit is 262,144.
LEGAL_HEADER_BYTES = 15_000     # The limit is 16,384.
LARGE_BODY_BYTES = 4_000_000    # Of 64 MB that are announced or go on.
ANNOUNCED_BYTES = 64_000_000
WRITE_BYTES = 16_384
# The crowd is used as it is after this time, even if some of its clients are
# still sending.
SEND_TIMEOUT_S = 2.0
# Long enough that the server reads each piece separately.
PIECE_INTERVAL_S = 0.1
SLOW_INTERVAL_S = 0.2
SLOW_DURATION_S = 1.0


REFUSALS = (400, 401, 404, 413, 429, 431, 503)


class Target:
    def __init__(self, name, port, path, headers):
        self.name, self.port, self.path = name, port, path
        self.headers = headers

    def head(self, job, length, method, more):
        """The request line and headers without the empty line at the end."""
        lines = [f"{method} {self.path.format(id=job)} HTTP/1.1",
                 *self.headers]
        if method != "GET":
            lines += ["Content-Type: application/json",
                      "Transfer-Encoding: chunked" if length is None
                      else f"Content-Length: {length}"]
        return "\r\n".join([*lines, *more]).encode() + b"\r\n"


TARGETS = {t.name: t for t in [
    Target("caller", CALLER_PORT, "/q0/{id}",
           ["Host: host", f"X-Heathersaddle-Key: {KEY}"]),
    Target("wrong-key", CALLER_PORT, "/q0/{id}",
           ["Host: host", "X-Heathersaddle-Key: unknown"]),
    Target("no-route", CALLER_PORT, "/none/{id}", ["Host: host"]),
    Target("readiness", READINESS_PORT, "/heathersaddle/readiness",
           ["Host: host"]),
    Target("metrics", METRICS_PORT, "/metrics", ["Host: host"]),
    Target("peer", PEER_PORT, "/q0/{id}",
           ["Host: host", f"X-Heathersaddle-Key: {KEY}"]),
    Target("peer-no-route", PEER_PORT, "/none/{id}", ["Host: host"])]}
# The crowd is spread over all targets: the budgets are those of the process,
# not of one server.
EVERY_PORT = "every-port"


def legal_body(_rng):
    """A job with a field that the scheduler does not know."""
    start = b'{"task_spec":"crowd","steps":[{"count":1,"cpu":100}],"note":"'
    return start + b"x" * (LEGAL_BODY_BYTES - len(start) - 2) + b'"}'


def many_fields_body(_rng):
    """A job with as many fields as fit, each of which becomes a value."""
    fields = [b'{"task_spec":"crowd","steps":[{"count":1,"cpu":100}]']
    size, number = len(fields[0]) + 1, 0
    while size < LEGAL_BODY_BYTES:
        fields.append(b',"%x":[]' % number)
        size += len(fields[-1])
        number += 1
    return b"".join(fields) + b"}"


def nested_body(rng):
    """A job with a field that is nested as deeply as fits."""
    start = b'{"task_spec":"crowd","steps":[{"count":1}],"note":'
    depth = (LEGAL_BODY_BYTES - len(start)) // 8
    if rng.random() < 0.5:
        return start + b'{"a":' * depth + b"1" + b"}" * depth + b"}"
    return start + b"[" * (4 * depth) + b"]" * (4 * depth) + b"}"


class Member:
    """One client of a crowd."""

    def __init__(self, ip, target, rng, reads):
        self.ip, self.target, self.rng = ip, target, rng
        # Every other client does not read answers, and does not notice that the
        # server has closed its side.
        self.reads = reads and rng.random() < 0.5
        self.sock = self.reader = self.writer = None
        self.background = []
        # The job of the last request, and the status of the first answer.
        self.job = self.status = None
        self.outcome = "open"  # Or "refused" or "closed", by the server.

    async def connect(self):
        self.sock = sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, (self.ip, self.target.port))
            self.reader, self.writer = await asyncio.open_connection(sock=sock)
        except OSError:
            sock.close()
            self.outcome = "refused"
            return
        if self.reads:
            self.start(self.read_until_closed())
        else:
            self.writer.transport.pause_reading()

    def head(self, length, method="POST", more=()):
        """The headers of a request for a new job. `length` is that of the body,
        None for a body in chunks."""
        self.job = f"{self.rng.getrandbits(64):016x}"
        return self.target.head(self.job, length, method, more)

    async def send(self, data, piece=WRITE_BYTES):
        view = memoryview(data)
        for start in range(0, len(view), piece):
            self.writer.write(bytes(view[start:start + piece]))
            await self.writer.drain()
            # Lets the other clients send, so that all bodies grow together.
            await asyncio.sleep(0)

    async def read_until_closed(self):
        """Reads answers, and closes the connection when the server does."""
        while answer := await self.reader.read(WRITE_BYTES):
            if self.status is None and answer.startswith(b"HTTP/1.1 "):
                self.status = int(answer[9:12])
        self.close("closed")

    async def run(self, action):
        """Runs `action` unless the server ends the connection."""
        try:
            await action
        except OSError:
            self.close("closed")

    def start(self, action):
        self.background.append(asyncio.create_task(self.run(action)))

    def close(self, outcome=None):
        self.outcome = outcome or self.outcome
        for task in self.background:
            task.cancel()
        if self.writer is not None:
            self.writer.transport.abort()


# The shapes. Each is a coroutine that ends when the client has sent all of it.

async def unfinished_body(m, body=legal_body):
    data = body(m.rng)
    await m.send(m.head(len(data)) + b"\r\n" + data[:-1])


async def unfinished_body_in_pieces(m):
    data = legal_body(m.rng)
    await m.send(m.head(len(data)) + b"\r\n")
    await m.send(data[:-1], m.rng.randint(1000, 3000))


async def unfinished_body_in_chunks(m):
    data = legal_body(m.rng)
    await m.send(m.head(None) + b"\r\n")
    size = m.rng.randint(500, 4000)
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in
              (data[i:i + size] for i in range(0, len(data), size))]
    await m.send(b"".join(chunks)[:-1])


async def last_chunk_in_pieces(m):
    """A complete request. Its last chunk arrives in pieces, which ended the
    process in an assertion of Boost.Beast's parser (d73ed52)."""
    head = m.head(None) + b"\r\n"
    for piece in (head + b"2\r\n{}\r\n0\r\n", b"\r", b"\n",
                  head + b"0\r\n", b"\r", b"\n"):
        await m.send(piece)
        await asyncio.sleep(PIECE_INTERVAL_S)


async def complete_body(m, body=legal_body):
    data = body(m.rng)
    await m.send(m.head(len(data)) + b"\r\n" + data)


async def many_fields(m):
    await complete_body(m, many_fields_body)


async def deep_nesting(m):
    await complete_body(m, nested_body)


async def large_body_with_length(m):
    await m.send(m.head(ANNOUNCED_BYTES) + b"\r\n")
    for _ in range(LARGE_BODY_BYTES // WRITE_BYTES):
        await m.send(b"x" * WRITE_BYTES)


async def large_body_in_chunks(m):
    await m.send(m.head(None) + b"\r\n")
    chunk = b"%x\r\n%b\r\n" % (WRITE_BYTES, b"x" * WRITE_BYTES)
    for _ in range(LARGE_BODY_BYTES // WRITE_BYTES):
        await m.send(chunk)


async def many_headers(m):
    """The headers are complete, the body is one byte short: the headers must
    be kept until it arrives."""
    more, size = [], 0
    while size < LEGAL_HEADER_BYTES - 300:
        more.append(f"{len(more):x}:")
        size += len(more[-1]) + 2
    await m.send(m.head(2, "POST", more) + b"\r\n{")


async def requests_ahead(m):
    """Sends many requests and reads no answer."""
    padding = f"X-Padding: {'x' * 1500}"
    await m.send(b"".join(m.head(0, "GET", [padding]) + b"\r\n"
                          for _ in range(400)))


async def small_requests_ahead(m):
    await m.send(b"".join(m.head(0, "GET") + b"\r\n"
                          for _ in range(200)))


async def slow_sending(m):
    head = m.head(LEGAL_BODY_BYTES) + b"\r\n"
    # Some clients are slow within the headers, the others within the body.
    start = m.rng.choice([m.rng.randrange(len(head) - 5), len(head)])
    await m.send(head[:start])
    m.start(trickle(m, head[start:] + b"x" * 10_000))
    await asyncio.sleep(SLOW_DURATION_S)


async def trickle(m, data):
    for byte in data:
        await m.send(bytes([byte]))
        await asyncio.sleep(SLOW_INTERVAL_S)


async def slow_reading(m):
    """Sends some requests and reads one byte of the answers at a time."""
    await m.send(b"".join(m.head(0, "GET") + b"\r\n"
                          for _ in range(20)))
    m.start(sip(m))
    await asyncio.sleep(SLOW_DURATION_S)


async def sip(m):
    # The transport does not read, so that the answers stay in the kernel.
    while True:
        try:
            if not m.sock.recv(1):
                return m.close("closed")
        except BlockingIOError:
            pass  # No answer has arrived yet.
        await asyncio.sleep(SLOW_INTERVAL_S)


async def half_requests(m):
    data = legal_body(m.rng)
    head = m.head(len(data)) + b"\r\n"
    await m.send(m.rng.choice([head[:len(head) // 2],
                               head + data[:len(data) // 2]]))


async def silence(_member):
    await asyncio.sleep(SLOW_DURATION_S)


class Shape:
    """`binds` names what the crowd is to exceed: a limit, or what the daemon
    can read. `targets` are those to which the shape applies."""

    def __init__(self, action, binds, targets=tuple(TARGETS), reads=True,
                 one_request=True):
        self.name = action.__name__.replace("_", "-")
        self.action, self.binds, self.reads = action, binds, reads
        self.one_request = one_request
        self.targets = [*(t for t in targets if t != "peer-no-route"),
                        EVERY_PORT]


JSON_TARGETS = ("caller", "peer")  # The others do not parse a body.
# What a client that sends nothing would ask for has no effect.
PORTS = ("caller", "readiness", "metrics", "peer")
SHAPES = [
    Shape(unfinished_body, "memory"),
    Shape(unfinished_body_in_pieces, "memory"),
    Shape(unfinished_body_in_chunks, "memory"),
    Shape(last_chunk_in_pieces, "input", one_request=False),
    Shape(complete_body, "memory"),
    Shape(large_body_with_length, "descriptors"),
    Shape(large_body_in_chunks, "memory"),
    Shape(many_fields, "memory", JSON_TARGETS),
    Shape(deep_nesting, "memory", JSON_TARGETS),
    Shape(many_headers, "memory"),
    Shape(requests_ahead, "unread_bytes", reads=False,
          one_request=False),
    Shape(small_requests_ahead, "descriptors", reads=False,
          one_request=False),
    Shape(slow_sending, "descriptors"),
    Shape(slow_reading, "descriptors", reads=False,
          one_request=False),
    Shape(half_requests, "descriptors"),
    Shape(silence, "descriptors", PORTS)]


class Crowd:
    def __init__(self, ip, shape, target_name, size, rng):
        self.shape = shape
        targets = list(TARGETS.values()) if target_name == EVERY_PORT \
            else [TARGETS[target_name]]
        self.members = [Member(ip, targets[i % len(targets)],
                               random.Random(rng.random()), shape.reads)
                        for i in range(size)]

    async def send(self):
        """Returns when all clients have sent what they send or were
        disconnected, at the latest after SEND_TIMEOUT_S."""
        await asyncio.gather(*(m.connect() for m in self.members))
        tasks = []
        for member in self.members:
            if member.writer is not None:
                member.start(self.shape.action(member))
                tasks.append(member.background[-1])
        if tasks:
            await asyncio.wait(tasks, timeout=SEND_TIMEOUT_S)

    def refused_jobs(self):
        """Jobs that were refused with a status that guarantees that they never
        run."""
        return {m.job for m in self.members
                if self.shape.one_request and m.status in REFUSALS}

    def outcomes(self):
        return Counter(m.outcome for m in self.members)

    def close(self):
        for member in self.members:
            member.close()
