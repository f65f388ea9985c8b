"""Starts the project's program with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BOUNDS = (
    "seedLagS=3,reuseAfterS=2,contactMs=3000,ackTimeoutMs=4000,catchUpS=4,"
    "drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,"
    "rollbackSlackMs=250,maxSkewMs=5000,retryBudgetRatio=0.2,"
    "retryWindowS=10,retryBudgetSlack=60,warmupOvershoot=1.5,warmupSlack=5,"
    "evacuateMs=5000,recoverS=15,holdMaxMs=10000,thawSlackMs=300"
).split(",")


def free_port():
    """Return a port below those that the system gives to connections."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        limit = int(file.read().split()[0])
    import random

    while True:
        port = random.randrange(10_000, limit)
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((HOST, port))
                return port


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start = time.monotonic()

    def note(self, event, **fields):
        at = round(time.monotonic() - self._start, 3)
        self._file.write(json.dumps({"at": at, "event": event, **fields}))
        self._file.write("\n")
        self._file.flush()


class Daemon:
    """One process of the role of the deploy file."""

    def __init__(self, number, zones, zone, store_port, folder):
        self.name = f"edge-{zone}-{number}"
        self.ports = [free_port() for _ in range(4)]
        self._zone, self._zones = zone, zones
        self._store_port, self._folder = store_port, folder
        self._path = folder / f"{self.name}.toml"
        self.process = None

    @property
    def control(self):
        return f"{HOST}:{self.ports[2]}"

    @property
    def callers(self):
        return HOST, self.ports[0]

    def configure(self, seeds, memory_mb=560, descriptors=1000):
        zones = "\n".join(f'{zone} = "accra-metro"' for zone in self._zones)
        self._path.write_text(
            f'nodeName = "{self.name}"\nrole = "router"\n'
            'machineClass = "edge"\nserves = ["edge","control"]\n'
            f'ip = "{HOST}"\nzone = "{self._zone}"\n'
            'region = "accra-metro"\ninternalPorts = [7620,7635]\n'
            f"seeds = {json.dumps(seeds)}\nbootstrap = true\n"
            'discovery = "platform"\nentry = "vip"\nheartbeatMs = 800\n'
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"own","places","platform"]\n'
            f'bounds = {json.dumps(BOUNDS)}\ngrants = "request"\n'
            f"[zones]\n{zones}\n"
            f'[listen]\nedgeAddr = "{HOST}:{self.ports[0]}"\n'
            f'ready = "{HOST}:{self.ports[1]}"\n'
            f'control = "{self.control}"\n'
            "[limits]\ncpuShare = 0.86\ncores = 2\n"
            f"memoryMb = {memory_mb}\nmaxFds = {descriptors}\n"
            "linkMbps = 2000.0\ndiskMb = 0\n"
            "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
            f'[platform]\naddress = "{HOST}:{self._store_port}"\n'
            'form = "log"\nwritesPerS = 400\nreadsPerS = 2000\nparts = 24\n'
            "appendMs = 1.0\npartitionMbS = 20.0\nreadMbS = 80.0\n"
            "recordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\n"
            "partMb = 200\nttlMinMs = 1000\n"
        )

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment |= {
            "AGATESTILE_BOOT": str(self._path),
            "AGATESTILE_METRICS_PORT": str(self.ports[3]),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._folder / f"{self.name}.log", "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=environment,
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def manifest(version, routes, clusters, limits=None):
    """Return a manifest; routes are (prefix, kind, service, timeoutMs)."""
    rules = [
        {
            "name": prefix.strip("/"),
            "routeType": kind,
            "targetLatencyMs": 400,
            "priority": 1,
            "match": {"pathPrefix": prefix},
            "action": {
                "service": service,
                "timeoutMs": timeout,
                "maxAttempts": 2,
            },
        }
        for prefix, kind, service, timeout in routes
    ]
    fields = {
        "version": f"r{version}",
        "listeners": [{"host": "hulo84.example", "rules": rules}],
        "clusters": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 120,
                "warmupS": 3.0,
                "warmupPerS": 10.0,
                "sharded": is_sharded,
            }
            for name, is_sharded in clusters
        ],
        "limits": limits
        or {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 8388608,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 8000,
        },
    }
    return json.dumps(fields).encode()
