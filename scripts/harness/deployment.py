"""Starts and stops the stand-in and the daemons on loopback.

Only processes started by the script itself are ended, by their process ids.
"""

import hashlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from .client import Balancer, call

OPERATOR_TOKEN = "operator-token-of-the-demonstration"
ACCOUNTS = ["dunes", "harbour", "lantern", "tide"]


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def account_token(account):
    return "token-of-" + account


def bearer(token):
    return {"Authorization": "Bearer " + token}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Program:
    """One process that the script started."""

    def __init__(self, name, command, folder, environment=None):
        self.name = name
        self.log_path = os.path.join(folder, name + ".log")
        self.log_file = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=self.log_file,
            stderr=self.log_file,
            env={**os.environ, **(environment or {})},
        )

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def wait(self, limit):
        """The exit code, or None if the process still runs after `limit`
        seconds."""
        try:
            return self.process.wait(limit)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.log_file.close()

    def running(self):
        return self.process.poll() is None


class Deployment:
    """A stand-in platform, of Dakar's size by default, and daemons that are
    distributed over its data centres."""

    def __init__(self, build, rng, seed, racks=2, workers_per_rack=8,
                 daemon_flags=()):
        self.daemon_flags = list(daemon_flags)
        self.bin = os.path.join(build, "packages")
        self.seed = seed
        self.folder = tempfile.mkdtemp(prefix="heathersaddle-")
        self.peer_key = secrets.token_hex(16)
        self.balancer = Balancer(rng)
        self.daemons = {}
        self.addresses = {}
        self.centres = {}
        self.generation = 0
        self.workers = 3 * racks * workers_per_rack
        self.platform = Program(
            "platform",
            [
                os.path.join(self.bin, "tool", "heathersaddle"),
                "dev-platform",
                "--output=json",
                "--data-centres=3",
                f"--racks={racks}",
                f"--workers-per-rack={workers_per_rack}",
                "--slots=8",
                "--accelerators=8",
                "--port=0",
                f"--seed={seed}",
            ],
            self.folder,
        )
        self.platform_address = self._read_address()

    def _read_address(self):
        for _ in range(200):
            with open(self.platform.log_path, encoding="utf-8") as log:
                line = log.readline()
            if line.endswith("\n"):
                return json.loads(line)["platform"]
            time.sleep(0.05)
        raise SystemExit("the stand-in did not print its address")

    def start_daemon(self, name, centre):
        """Starts a daemon on a free port, as a replacement host would."""
        address = f"127.0.0.1:{free_port()}"
        self.generation += 1
        program = Program(
            name,
            [
                os.path.join(self.bin, "daemon", "heathersaddled"),
                f"--name={name}",
                f"--listen={address}",
                f"--data-centre={centre}",
                f"--log={self.platform_address}",
                f"--operator-token-sha256={sha256(OPERATOR_TOKEN)}",
                *self.daemon_flags,
            ],
            self.folder,
            {"HEATHERSADDLE_PEER_KEY": self.peer_key},
        )
        self.daemons[name] = program
        self.addresses[name] = address
        self.centres[name] = centre
        self.balancer.add(name, address)

    def kill_daemon(self, name):
        self.daemons.pop(name).kill()
        self.balancer.remove(name)

    def stop_daemon(self, name, limit=60):
        """Stops a daemon gracefully and returns its exit code, or None if it
        was killed after `limit` seconds. The balancer keeps choosing it until
        /readyz fails, as in production."""
        program = self.daemons.pop(name)
        program.signal(signal.SIGTERM)
        code = program.wait(limit)
        self.balancer.remove(name)
        if code is None:
            program.kill()
        return code

    def run_tool(self, *arguments, token=OPERATOR_TOKEN, limit=60):
        """Runs the command-line tool against all daemons."""
        names = sorted(self.daemons)
        servers = ",".join(self.addresses[n] for n in names)
        result = subprocess.run(
            [os.path.join(self.bin, "tool", "heathersaddle"), *arguments],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=limit,
            check=False,
            env={
                **os.environ,
                "HEATHERSADDLE_SERVERS": servers,
                "HEATHERSADDLE_TOKEN": token,
            },
        )
        return result.returncode, result.stdout + result.stderr

    def publish(self, name, content, limit=30):
        """Publishes one list with the command-line tool. Retries for `limit`
        seconds, because daemons cannot accept it at first, for example before
        they know the workers."""
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file)
        end = time.monotonic() + limit
        while True:
            code, text = self.run_tool("lists", "publish", name, path)
            if code == 0:
                return
            if time.monotonic() > end:
                raise SystemExit(f"publishing {name} failed ({code}): {text}")
            time.sleep(0.5)

    def set_faults(self, **switches):
        reply = call(self.platform_address, "POST", "/v1/faults", switches)
        if not reply.ok:
            raise SystemExit(f"the fault {switches} was refused: {reply.body}")

    def audit(self):
        reply = call(self.platform_address, "GET", "/v1/audit", limit=30)
        if not reply.ok:
            raise SystemExit("the stand-in returned no audit")
        return reply.body

    def save_evidence(self):
        """Writes the audit and the control stream beside the programs' logs."""
        path = os.path.join(self.folder, "audit.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.audit(), file)
        offset = 0
        path = os.path.join(self.folder, "control.jsonl")
        with open(path, "w", encoding="utf-8") as file:
            while True:
                target = f"/v1/streams/control/records?from={offset}&max=1000"
                reply = call(self.platform_address, "GET", target)
                records = reply.body
                if reply.status == 410:  # Trimmed: go on at the oldest record.
                    offset = records["oldest"]
                    continue
                if not records.get("records"):
                    return
                for text in records["records"]:
                    file.write(f"{offset} {text}\n")
                    offset += 1

    def discard_evidence(self):
        shutil.rmtree(self.folder)

    def owner_of(self, cell):
        """The daemon under whose epoch the cell's workers act."""
        newest = {}
        for entry in self.audit()["owners"]:
            known = newest.get(entry["cell"])
            if known is None or entry["epoch"] > known["epoch"]:
                newest[entry["cell"]] = entry
        entry = newest.get(cell)
        return entry and entry["owner"]

    def close(self):
        self.balancer.close()
        for program in list(self.daemons.values()):
            program.kill()
        self.platform.kill()


def plans():
    """One plan for each account. Their guarantees cover about half of the default
    pool, in units of 1 to 32 accelerators."""
    guarantees = {
        "dunes": [{"accelerators": 8, "workers": 4, "within": "rack", "count": 2}],
        "harbour": [{"accelerators": 8, "workers": 2, "within": "rack", "count": 3}],
        "lantern": [{"accelerators": 4, "workers": 1, "within": "none", "count": 8}],
        "tide": [{"accelerators": 1, "workers": 1, "within": "none", "count": 32}],
    }
    return {
        "plans": [
            {
                "name": "plan-" + account,
                "guarantee": guarantees[account],
                "share": 1 + index,
                "max_slots": 0,
                "max_jobs": 2000,
                "requests_per_second": 500,
                "burst": 1000,
            }
            for index, account in enumerate(ACCOUNTS)
        ]
    }


def customers():
    return {
        "customers": [
            {
                "account": account,
                "token_sha256": sha256(account_token(account)),
                "plan": "plan-" + account,
                "departed": False,
            }
            for account in ACCOUNTS
        ]
    }
