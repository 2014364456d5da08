"""Reads what a daemon's control traffic costs, and a deployment of any size."""

import http.client
import os
import random
import re
import secrets
import tempfile
import time

from .client import Balancer, call
from .deployment import Deployment, Program

KINDS = ["log", "hosts", "worker", "peer", "peer_server"]
BYTES = re.compile(
    r'heathersaddle_control_bytes_total\{kind="(\w+)",direction="(\w+)"\} (\S+)'
)
UP = re.compile(r'heathersaddle_cell_workers\{cell="([^"]+)",status="up"\} (\S+)')
USED = re.compile(r'heathersaddle_cell_slots\{cell="([^"]+)",kind="used"\} (\S+)')
OWNED = re.compile(r"^heathersaddle_cells_owned (\S+)", re.MULTILINE)


def metrics_text(address):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def process_cpu(pid):
    """CPU seconds of a process, all threads."""
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
        self.at = time.monotonic()
        self.cpu = process_cpu(pid)
        self.rss_mb = memory_kb(pid, "VmRSS") / 1024
        self.anon_mb = memory_kb(pid, "RssAnon") / 1024
        self.bytes = dict.fromkeys(KINDS, 0.0)
        for kind, _, value in BYTES.findall(text):
            self.bytes[kind] += float(value)


class Cost:
    """What one daemon spent between two samples."""

    def __init__(self, before, after):
        seconds = after.at - before.at
        self.rates = {
            k: (after.bytes[k] - before.bytes[k]) / seconds for k in KINDS
        }
        self.total = sum(self.rates.values())
        self.cpu_percent = 100 * (after.cpu - before.cpu) / seconds
        self.rss_mb = after.rss_mb
        self.anon_mb = after.anon_mb


class SizedDeployment(Deployment):
    """A stand-in with any number of workers; starts no daemon by itself."""

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

    def counted(self, pattern):
        """The sum of a metric's values on one daemon."""
        name = sorted(self.daemons)[0]
        text = metrics_text(self.addresses[name])
        return sum(float(value) for _, value in pattern.findall(text))

    def wait_for(self, pattern, wanted, limit):
        """Waits until the metric adds up to `wanted`; returns the last sum."""
        end = time.monotonic() + limit
        seen = 0
        while time.monotonic() < end:
            seen = self.counted(pattern)
            if seen >= wanted:
                break
            time.sleep(0.5)
        return seen

    def sample(self):
        return {name: Sample(self, name) for name in sorted(self.daemons)}

    def owned(self, name):
        found = OWNED.search(metrics_text(self.addresses[name]))
        return int(float(found.group(1))) if found else 0

    def submit(self, body, token, limit=10):
        _, address = self.balancer.choose()
        headers = {"Authorization": "Bearer " + token}
        return call(address, "POST", "/v1/jobs", body, headers, limit)
