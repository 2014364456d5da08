"""Callers that submit jobs, wait for the answers and record them."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from .client import CUT, REFUSED, call
from .deployment import ACCOUNTS, account_token, bearer

UINT64 = (1 << 64) - 1


def fnv1a(text):
    value = 0xCBF29CE484222325
    for byte in text.encode():
        value = ((value ^ byte) * 0x100000001B3) & UINT64
    return value


def expected_answer(text, task, tasks):
    """The answer expected from a stand-in worker, computed independently."""
    return f"{task}/{tasks}:{fnv1a(text):016x}:{text}"


class SeenRequest:
    """One request and what its caller observed."""

    def __init__(self, body, account, key):
        self.body = body
        self.account = account
        self.key = key
        self.job = None  # Set when a daemon accepted the request.
        self.refused = None  # Status of a final refusal.
        self.outcome = None
        self.parts = []
        self.started_at = time.monotonic()
        self.accepted_after = None
        self.ended_after = None
        self.cut_by = []  # Daemons that closed the connection during a call.


def make_body(rng, number):
    """One random request: an urgent single task, a gang or a long job."""
    draw = rng.random()
    text = f"frame-{number}-{rng.getrandbits(32):08x}"
    if draw < 0.55:
        shape = {"tasks": 1, "accelerators": rng.choice([1, 1, 2])}
        kind = rng.choice(["echo", "sleep:50", "sleep:300"])
        urgent, idempotent = True, rng.random() < 0.5
    elif draw < 0.85:
        shape = {
            "tasks": rng.choice([2, 3, 4, 8, 16]),
            "accelerators": rng.choice([1, 2, 4]),
            "within": rng.choice(["none", "rack"]),
        }
        kind = f"sleep:{rng.randrange(200, 2500)}"
        urgent, idempotent = False, rng.random() < 0.5
    else:
        shape = {"tasks": 1, "accelerators": rng.choice([4, 8])}
        kind = f"sleep:{rng.randrange(4000, 12000)}"
        urgent, idempotent = False, True
    return {
        "shape": shape,
        "kind": kind,
        "input": text,
        "idempotent": idempotent,
        "urgent": urgent,
    }


class Load:
    """Submits at a given rate from many caller threads."""

    CALLER_THREADS = 192
    RETRY_PAUSE_S = 0.2

    def __init__(self, deployment, rng, label):
        self.deployment = deployment
        self.rng = rng
        self.label = label
        self.requests = []
        self.deadline = None
        self.pool = ThreadPoolExecutor(self.CALLER_THREADS)
        self.ended = threading.Event()
        self.submitter = None

    def start(self, requests_per_second):
        self.submitter = threading.Thread(
            target=self._submit_at_rate, args=(requests_per_second,), daemon=True
        )
        self.submitter.start()

    def submit(self, body, account):
        """Queues one request; returns the object that its caller fills in."""
        seen = SeenRequest(body, account, f"{self.label}-{len(self.requests)}")
        self.requests.append(seen)
        self.pool.submit(self._run_request, seen)
        return seen

    def finish(self, limit):
        """Stops new requests and waits for the callers. After `limit` seconds
        a caller without an outcome gives up before its next call."""
        self.ended.set()
        if self.submitter:
            self.submitter.join()
        self.deadline = time.monotonic() + limit
        self.pool.shutdown(wait=True)

    def _submit_at_rate(self, requests_per_second):
        number = 0
        while not self.ended.wait(1.0 / requests_per_second):
            account = ACCOUNTS[number % len(ACCOUNTS)]
            self.submit(make_body(self.rng, number), account)
            number += 1

    def _deadline_passed(self):
        return self.deadline is not None and time.monotonic() > self.deadline

    def _call(self, seen, method, target, body, headers, limit, avoid):
        name, address = self.deployment.balancer.choose(avoid)
        if address is None:
            return None, None
        headers = {**headers, **bearer(account_token(seen.account))}
        reply = call(address, method, target, body, headers, limit)
        if reply.failure == CUT:
            seen.cut_by.append(name)
        return name, reply

    def _run_request(self, seen):
        if self._submit(seen):
            self._wait(seen)

    def _submit(self, seen):
        avoid = None
        headers = {"Idempotency-Key": seen.key}
        while not self._deadline_passed():
            name, reply = self._call(
                seen, "POST", "/v1/jobs", seen.body, headers, 8.0, avoid
            )
            if reply is not None and reply.ok and reply.body.get("job"):
                seen.job = reply.body["job"]
                seen.accepted_after = time.monotonic() - seen.started_at
                return True
            if reply is not None and 400 <= reply.status < 500:
                if reply.status != 429:
                    seen.refused = reply.status
                    return False
            avoid = name
            time.sleep(self.RETRY_PAUSE_S)
        return False

    def _wait(self, seen):
        avoid = None
        while not self._deadline_passed():
            target = f"/v1/jobs/{seen.job}?wait_ms=10000"
            name, reply = self._call(seen, "GET", target, None, {}, 15.0, avoid)
            if reply is not None and reply.ok:
                if reply.body.get("outcome") not in (None, "", "none"):
                    seen.outcome = reply.body["outcome"]
                    seen.parts = reply.body.get("answer") or []
                    seen.ended_after = time.monotonic() - seen.started_at
                    return
                avoid = None
                continue
            avoid = name
            if reply is None or reply.failure != REFUSED:
                time.sleep(self.RETRY_PAUSE_S)
