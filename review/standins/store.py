"""The platform's store: a log with topics, as the platform's pages describe
it. It is healthy: it answers each call after a few milliseconds."""

import asyncio
import base64
import json
import urllib.parse

from net import Server

APPEND_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
REPEATS = 5   # So many of the last appends of a producer may be repeated.
PROTECTED = ("keyed.op", "keyed.servers")


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}      # Key -> (offset, value).
        self.producers = {}   # Name -> [epoch, sequence, recent answers].
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, record):
        key, value = record[1:1 + record[0]], record[1 + record[0]:]
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (len(self.records), value)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    def __init__(self):
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker does; None deletes the
        key."""
        text = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).add(bytes([len(key)]) + key.encode() + text)

    def server(self, link, translate=lambda topic, record: record):
        """An access point to the store. `translate` maps the records that are
        read there."""

        async def handle(method, path, query, headers, body):
            del method, headers
            name = query["topic"]
            if path == "/heathersaddle/log-append":
                if name in PROTECTED:
                    return 403, b"{}"
                status, answer = await self._append(self.topic(name), query,
                                                    body)
                return status, json.dumps(answer).encode()
            if path == "/heathersaddle/log-read":
                return await self._read(name, query, translate)
            if path == "/heathersaddle/log-newest":
                return 200, json.dumps(
                    self._newest(name, query, translate)).encode()
            return 404, b"{}"

        return Server(handle, link)

    async def _append(self, topic, query, body):
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(topic.records):
                return 412, {"end": len(topic.records)}
            producer = None
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                producer = topic.producers.setdefault(
                    query["producer"], [-1, 0, {}])
                if epoch < producer[0]:
                    return 409, {"reason": "fenced"}
                if epoch == producer[0]:
                    if seq in producer[2]:
                        return producer[2][seq]
                    if seq != producer[1] + 1:
                        return 409, {"reason": "seq",
                                     "expected": producer[1] + 1}
                else:
                    producer[0], producer[2] = epoch, {}
                producer[1] = seq
            first = len(topic.records)
            while body:
                size = int.from_bytes(body[:4], "big")
                topic.add(body[4:4 + size])
                body = body[4 + size:]
            answer = 200, {"offset": first, "end": len(topic.records)}
            if producer:
                producer[2][seq] = answer
                for old in sorted(producer[2])[:-REPEATS]:
                    del producer[2][old]
            return answer

    async def _read(self, name, query, translate):
        topic = self.topic(name)
        start = int(query["from"])
        wait = int(query.get("wait_ms", "0")) / 1000
        if start >= len(topic.records) and wait:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass  # The answer holds no records.
        content = len(topic.records).to_bytes(8, "big") + bytes(8)
        limit = int(query.get("max_kb", "1024")) * 1024
        for record in topic.records[start:]:
            record = translate(name, record)
            if len(content) + len(record) > limit and len(content) > 16:
                break
            content += len(record).to_bytes(4, "big") + record
        return 200, content

    def _newest(self, name, query, translate):
        topic = self.topic(name)
        after = urllib.parse.unquote(query.get("depends_on", "")).encode()
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            offset, value = topic.newest[key]
            record = translate(name, bytes([len(key)]) + key + value)
            value = record[1 + len(key):]
            size += len(value)
            if items and size > PAGE_BYTES:
                break
            items.append({"key": key.decode(), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return {"items": items, "has_more": len(items) < len(keys),
                "end": len(topic.records)}
