"""A stand-in for the platform's store: a log with compacted topics."""

import asyncio
import base64
import json
import time
from urllib.parse import unquote

from wire import Server

RECORD_BYTES, CALL_BYTES, APPEND_S = 262_144, 2_097_152, 0.004
PART_BYTES_PER_S = 20e6


class Topic:
    def __init__(self):
        self.records, self.newest = [], {}
        # Of the fenced producer: its epoch and its last five appends.
        self.epoch, self.appends = -1, []
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()


class Store:
    def __init__(self, record):
        self.record, self.topics = record, {}
        self.refused = 0
        self.server = Server(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes as the operator or a worker does; None removes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self._add(self.topic(topic), bytes([len(key)]) + key.encode() + text)

    @staticmethod
    def _add(topic, content):
        key, value = content[1:1 + content[0]], content[1 + content[0]:]
        topic.newest.pop(key, None)
        if value:
            topic.newest[key] = (len(topic.records), value)
        topic.records.append(content)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        name = unquote(query.get("topic", ""))
        if path == "/heathersaddle/log-append":
            if name in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            topic = self.topic(name)
            async with topic.turn:
                await asyncio.sleep(APPEND_S + len(body) / PART_BYTES_PER_S)
                status, answer = self.append(topic, query, body)
            return status, json.dumps(answer).encode()
        if path == "/heathersaddle/log-read":
            return 200, await self.read(self.topic(name), query)
        if path == "/heathersaddle/log-newest":
            return 200, json.dumps(self.page(self.topic(name), query)).encode()
        return 404, b"{}"

    def append(self, topic, query, body):
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        longest = max(map(len, records), default=0)
        if longest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
            # Each record has at most record_bytes; nothing is appended.
            self.refused += 1
            if self.refused in (1, 10, 100, 1000):
                self.record(f"store: append no. {self.refused} with a record "
                            f"of {longest} bytes refused with 400")
            return 400, {}
        fenced = "producer" in query
        if fenced:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < topic.epoch:
                return 409, {"reason": "fenced"}
            if epoch > topic.epoch:
                topic.epoch, topic.appends = epoch, []
            for number, answer in topic.appends:
                if number == seq:
                    return answer
            if topic.appends and seq != topic.appends[-1][0] + 1:
                return 409, {"reason": "seq", "seq": topic.appends[-1][0] + 1}
        first = len(topic.records)
        for content in records:
            self._add(topic, content)
        answer = 200, {"offset": first, "end": len(topic.records)}
        if fenced:
            topic.appends = (topic.appends + [(seq, answer)])[-5:]
        return answer

    @staticmethod
    async def read(topic, query):
        start, limit = int(query["from"]), int(query.get("max_kb", 1024)) << 10
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(topic.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                break
        content = [len(topic.records).to_bytes(8, "big"), bytes(8)]
        size = 0
        for record in topic.records[start:]:
            if size and size + len(record) > limit:
                break
            size += len(record) + 4
            content += [len(record).to_bytes(4, "big"), record]
        return b"".join(content)

    @staticmethod
    def page(topic, query):
        after = unquote(query.get("depends_on", "")).encode()
        items, size, more = [], 0, False
        for key in sorted(k for k in topic.newest if k > after):
            offset, value = topic.newest[key]
            if items and (len(items) == 500 or size + len(value) > 1 << 20):
                more = True
                break
            size += len(value)
            items.append({"key": key.decode(), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return {"items": items, "has_more": more, "end": len(topic.records)}
