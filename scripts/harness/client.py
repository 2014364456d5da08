"""HTTP calls to daemons and the stand-in, and a balancer over daemons."""

import http.client
import json
import threading
import time

REFUSED = "refused"  # No connection; the request was not delivered.
CUT = "cut"  # Sent, but the connection ended before a complete answer.
TIMEOUT = "timeout"  # Sent, no complete answer within the time limit.


class Reply:
    """A response, or the reason why there is none in `failure`."""

    def __init__(self, status=0, body=None, failure=None, text=""):
        self.status = status
        self.text = text
        self.body = body if isinstance(body, dict) else {}
        self.failure = failure

    @property
    def ok(self):
        return 200 <= self.status < 300


def call(address, method, target, body=None, headers=None, limit=5.0):
    """Sends one request on a new connection."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=limit)
    text = None if body is None else json.dumps(body)
    headers = dict(headers or {})
    if text is not None:
        headers["Content-Type"] = "application/json"
    try:
        try:
            connection.connect()
        except OSError:
            return Reply(failure=REFUSED)
        connection.request(method, target, text, headers)
        response = connection.getresponse()
        raw = response.read()
        try:
            return Reply(response.status, json.loads(raw or b"{}"))
        except ValueError:
            return Reply(response.status, text=raw.decode(errors="replace"))
    except TimeoutError:
        return Reply(failure=TIMEOUT)
    except (OSError, http.client.HTTPException):
        return Reply(failure=CUT)
    finally:
        connection.close()


class Balancer:
    """Chooses among the daemons whose /readyz answers with a 2xx status, as
    the platform's balancer does; it checks four times a second."""

    CHECK_PERIOD_S = 0.25

    def __init__(self, rng):
        self.rng = rng
        self.lock = threading.Lock()
        self.addresses = {}
        self.ready = set()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def add(self, name, address):
        with self.lock:
            self.addresses[name] = address

    def remove(self, name):
        with self.lock:
            self.addresses.pop(name, None)
            self.ready.discard(name)

    def choose(self, avoid=None):
        """Returns (name, address) of a random ready daemon, or of any daemon if
        none is ready. Avoids the daemon `avoid` if there is another one."""
        with self.lock:
            names = sorted(self.ready) or sorted(self.addresses)
            others = [n for n in names if n != avoid] or names
            if not others:
                return None, None
            name = self.rng.choice(others)
            return name, self.addresses[name]

    def wait_ready(self, names, limit):
        """Whether all of the names are ready within the limit in seconds."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with self.lock:
                if set(names) <= self.ready:
                    return True
            time.sleep(0.05)
        return False

    def close(self):
        self.ended.set()
        self.thread.join()

    def _run(self):
        while not self.ended.wait(self.CHECK_PERIOD_S):
            with self.lock:
                known = dict(self.addresses)
            for name, address in known.items():
                ok = call(address, "GET", "/readyz", limit=1.0).ok
                with self.lock:
                    if ok and self.addresses.get(name) == address:
                        self.ready.add(name)
                    else:
                        self.ready.discard(name)
