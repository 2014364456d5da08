"""Measures a daemon's control traffic in deployments of any size."""

import http.client
import os
import random
import re
import secrets
import tempfile
import time

from .client import Balancer, call
from .deployment import Deployment, Program

TRAFFIC_KINDS = ["log", "hosts", "worker", "peer", "peer_server"]
CONTROL_BYTES = re.compile(
    r'heathersaddle_control_bytes_total\{kind="(\w+)",direction="(\w+)"\} (\S+)'
)
WORKERS_UP = re.compile(
    r'heathersaddle_cell_workers\{cell="([^"]+)",status="up"\} (\S+)'
)
SLOTS_USED = re.compile(
    r'heathersaddle_cell_slots\{cell="([^"]+)",kind="used"\} (\S+)'
)
CELLS_OWNED = re.compile(r"^heathersaddle_cells_owned (\S+)", re.MULTILINE)


def metrics_text(address):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def process_cpu(pid):
    """CPU seconds of all threads of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kb(pid, field):
    """A field of /proc/PID/status, such as VmRSS, RssAnon or RssFile."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    return 0


class Sample:
    """The counters of one daemon at one moment."""

    def __init__(self, deployment, name):
        pid = deployment.daemons[name].process.pid
        text = metrics_text(deployment.addresses[name])
        self.taken_at = time.monotonic()
        self.cpu_seconds = process_cpu(pid)
        self.rss_mb = memory_kb(pid, "VmRSS") / 1024
        self.anon_mb = memory_kb(pid, "RssAnon") / 1024
        self.bytes = dict.fromkeys(TRAFFIC_KINDS, 0.0)
        for kind, _, value in CONTROL_BYTES.findall(text):
            self.bytes[kind] += float(value)


class Cost:
    """Resource use of one daemon between two samples."""

    def __init__(self, before, after):
        seconds = after.taken_at - before.taken_at
        self.byte_rates = {
            k: (after.bytes[k] - before.bytes[k]) / seconds for k in TRAFFIC_KINDS
        }
        self.total_rate = sum(self.byte_rates.values())
        self.cpu_percent = 100 * (after.cpu_seconds - before.cpu_seconds) / seconds
        self.rss_mb = after.rss_mb
        self.anon_mb = after.anon_mb


class SizedDeployment(Deployment):
    """A deployment with any number of workers and initially no daemon."""

    def __init__(self, build, seed, centres, racks, per_rack, slots):
        self.bin = os.path.join(build, "packages")
        self.seed = seed
        self.folder = tempfile.mkdtemp(prefix="heathersaddle-")
        self.peer_key = secrets.token_hex(16)
        self.balancer = Balancer(random.Random(seed))
        self.daemons = {}
        self.addresses = {}
        self.centres = {}
        self.generation = 0
        self.cells = centres
        self.workers = centres * racks * per_rack
        self.platform = Program(
            "platform",
            [
                os.path.join(self.bin, "tool", "heathersaddle"),
                "dev-platform",
                "--output=json",
                f"--data-centres={centres}",
                f"--racks={racks}",
                f"--workers-per-rack={per_rack}",
                f"--slots={slots}",
                f"--accelerators={min(slots, 8)}",
                "--port=0",
                f"--seed={seed}",
            ],
            self.folder,
        )
        self.platform_address = self._read_address()

    def metric_sum(self, pattern):
        """The sum of a metric's values on one daemon."""
        name = sorted(self.daemons)[0]
        text = metrics_text(self.addresses[name])
        return sum(float(value) for _, value in pattern.findall(text))

    def wait_for_metric(self, pattern, expected, limit):
        """Waits until the metric adds up to `expected`; returns the last sum."""
        end = time.monotonic() + limit
        total = 0
        while time.monotonic() < end:
            total = self.metric_sum(pattern)
            if total >= expected:
                break
            time.sleep(0.5)
        return total

    def sample(self):
        return {name: Sample(self, name) for name in sorted(self.daemons)}

    def owned_cells(self, name):
        found = CELLS_OWNED.search(metrics_text(self.addresses[name]))
        return int(float(found.group(1))) if found else 0

    def submit(self, body, token, limit=10):
        _, address = self.balancer.choose()
        headers = {"Authorization": "Bearer " + token}
        return call(address, "POST", "/v1/jobs", body, headers, limit)
