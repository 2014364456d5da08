"""The service that knows which workers may run a step: `allowed`, for all
steps. It handles one call at a time."""

import asyncio
import json
import time


class Advisor:
    def __init__(self, allowed, decide_ms, each_ms, valid_ms):
        self.allowed = allowed
        self.timing = {"decide_ms": decide_ms, "each_ms": each_ms,
                       "valid_ms": valid_ms}
        self.lock = asyncio.Lock()
        self.record = print
        self.issued = {}      # Ticket -> when.

    def is_valid(self, ticket, worker, step):
        issued = self.issued.get(ticket)
        return (ticket == f"ticket-{worker}-{step}" and issued is not None and
                time.monotonic() - issued <= self.timing["valid_ms"] / 1000)

    async def handle(self, method, path, query, headers, body):
        del method, query, headers
        if path != "/heathersaddle/advise":
            return 404, b"{}"
        call = json.loads(body)
        async with self.lock:
            await asyncio.sleep((self.timing["decide_ms"] +
                                 self.timing["each_ms"]
                                 * len(call["workers"])) / 1000)
        good = [[worker, f"ticket-{worker}-{call['step']}"]
                for worker in call["workers"] if worker in self.allowed]
        self.issued.update({ticket: time.monotonic() for _, ticket in good})
        self.record(f"advice on {call['step']}: of {len(call['workers'])} "
                    f"workers {[worker for worker, _ in good]}")
        return 200, json.dumps(
            {"good": good, "valid_ms": self.timing["valid_ms"]}).encode()
