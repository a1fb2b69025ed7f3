"""The project's own hosts as processes on loopback, started as the deploy file says."""

import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = {"north-pos": "north", "central-cha": "central", "south-sfo": "south"}
CONTROL_PORT, LINK_PORT, CALLER_PORT, READY_PORT = 8782, 7440, 8784, 8785
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_ms": 5000,
    "ack_timeout_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "configuration_apply_ms": 3000,
    "regression_window_ms": 250,
    "max_stretch_ms": 15000,
    "recovery_s": 12,
    "enforce_fencing": True,
    "thaw_slack_ms": 300,
}


class Host:
    """One process of the project."""

    def __init__(self, role, settings, folder):
        self.name = settings["node_name"]
        self.ip = settings["ip_address"]
        self._role, self._settings, self._folder = role, settings, folder
        self._file = folder / f"{self.name}.json"
        self.process = None

    def start(self):
        self._file.write_text(json.dumps(self._settings))
        commands = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AZURERELAY_NODE_FILE"] = str(self._file)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                commands[self._role]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def set_bootstrap(self, is_first):
        self._settings["bootstrap"] = is_first

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def log_text(self):
        file = self._folder / f"{self.name}.log"
        return file.read_text(errors="replace") if file.exists() else ""


class Fleet:
    """Control hosts and entry hosts, each at a loopback address of its own."""

    def __init__(self, entries=6, controls=5):
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.platform = f"{self.net}.250:8783"
        control_ips = [f"{self.net}.{10 + n}" for n in range(controls)]
        seeds = [f"{ip}:{CONTROL_PORT}" for ip in control_ips[:3]]
        zones = list(ZONES)
        self.controls, self.entries = [], []
        for number in range(controls):
            zone, ip = zones[number % 3], control_ips[number]
            (self.folder / f"data{number}").mkdir()
            settings = self._common(f"core-{number + 1}", ip, zone, seeds) | {
                "role": "control",
                "machine_class": "core",
                "serves": ["control_plane"],
                "listen_addresses": {"control_plane": f"{ip}:{CONTROL_PORT}"},
                "counts_toward_tolerance": True,
                "data_directory": str(self.folder / f"data{number}"),
            }
            self.controls.append(Host("control", settings, self.folder))
        for number in range(entries):
            zone, ip = zones[number % 3], f"{self.net}.{100 + number}"
            settings = self._common(f"front-{number + 1}", ip, zone, seeds) | {
                "role": "entry",
                "machine_class": "frontend",
                "serves": ["frontend"],
                "listen_addresses": {
                    "frontend": f"{ip}:{CALLER_PORT}",
                    "readiness_address": f"{ip}:{READY_PORT}",
                },
                "counts_toward_tolerance": False,
                "data_directory": None,
            }
            self.entries.append(Host("entry", settings, self.folder))

    def _common(self, name, ip, zone, seeds):
        return {
            "node_name": name,
            "ip_address": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "internal_port_range": [LINK_PORT, LINK_PORT + 15],
            "seeds": seeds,
            "bootstrap": True,
            "discovery": "registry",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "limits": {"memory_mb": 222, "file_descriptors": 1605},
            "cloud_api": {
                "address": self.platform,
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }

    @property
    def control_addresses(self):
        return [f"{host.ip}:{CONTROL_PORT}" for host in self.controls]

    @property
    def caller_addresses(self):
        return [f"{host.ip}:{CALLER_PORT}" for host in self.entries]

    def start(self):
        for host in (*self.controls, *self.entries):
            host.start()

    def leader(self):
        """Return the control host that ordered or led last, by its own log."""
        led = []
        for host in self.controls:
            for line in host.log_text().splitlines():
                if '"role_changed"' in line or "RoleChanged" in line:
                    led.append((line, host))
        return led

    def stop(self):
        for host in (*self.controls, *self.entries):
            host.signal(signal.SIGCONT)
            host.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version, databases, services):
    """Return a manifest; `databases` are (database, kind, service), and `services`
    (name, sync_replicas)."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{database}",
                "host": database,
                "path_prefix": "/",
                "kind": kind,
                "timeout_ms": 1000,
                "target_latency_ms": 500,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "max_staleness_ms": 0 if kind == "primary" else 1500,
            }
            for database, kind, service in databases
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 45,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": count,
            }
            for name, count in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "transaction_idle_ms": 3000,
        },
    }
