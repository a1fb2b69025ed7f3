"""Measures the scaling of each role and rewrites the tables of docs/CAPACITY.md.

Runs bench/control_cost.py, bench/scale_model.py and a measurement of the memory of
idle connections. Each slope is fitted to at least three sizes. The text around the
tables is not changed.
"""

import asyncio
import json
import re
import sys
from pathlib import Path
from typing import Any

from bench import control_cost, scale_model
from bench.control_cost import LinearFit, fit_line
from bench.processes import Cluster, ClusterShape

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
CONNECTION_COUNTS = (0, 500, 1_000, 2_000)
MODEL_SIZES = ((100, 150), (300, 450), (950, 1_400))
HOSTS = 950
GROUPS = 1_400
CALLER_CONNECTIONS = 2_500_000
STATEMENTS_PER_S = 290_000
CONTROL_HOSTS = 7
BYTES_PER_KB = 1_024
SLOPE_HEADER = ("cost", "script in bench/", "measured (size: value)", "fitted line")
ROLE_HEADER = ("role", "state and memory", "messages", "CPU", "budget")


async def connection_memory() -> list[tuple[float, float]]:
    """Return (idle caller connections, resident MiB of an entry host) points."""
    points = []
    with Cluster(ClusterShape(entry_hosts=1, control_hosts=1, groups=())) as cluster:
        name = cluster.entry_host_names[0]
        host, _, port = cluster.addresses[name].rpartition(":")
        writers: list[asyncio.StreamWriter] = []
        await asyncio.sleep(3.0)
        for count in CONNECTION_COUNTS:
            while len(writers) < count:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                await reader.read(64)
                writers.append(writer)
            await asyncio.sleep(1.0)
            points.append((float(count), cluster.rss_mb(name)))
        for writer in writers:
            writer.close()
    return points


def markdown_table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def slope_rows(
    connections: list[tuple[float, float]],
    cost: dict[str, Any],
    model: list[dict[str, float]],
) -> list[tuple[str, ...]]:
    """Return the table rows with the measured points and the fitted lines."""

    def row(
        name: str, script: str, points: list[tuple[float, float]], unit: str
    ) -> tuple[str, ...]:
        fitted = fit_line(points)
        measured = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
        return (
            name,
            script,
            measured,
            f"{fitted.intercept:.3g} + {fitted.slope:.3g} per unit, in {unit}",
        )

    hosts, groups = cost["hosts"], cost["groups"]
    return [
        row("memory per caller connection", "capacity.py", connections, "MB"),
        row(
            "control leader, CPU per host",
            "control_cost.py",
            [(p["hosts"], p["leader_cpu_percent"]) for p in hosts],
            "%",
        ),
        row(
            "control leader, bytes per host",
            "control_cost.py",
            [(p["hosts"], p["leader_bytes_per_s"]) for p in hosts],
            "B/s",
        ),
        row(
            "control follower, CPU per host",
            "control_cost.py",
            [(p["hosts"], p["follower_cpu_percent"]) for p in hosts],
            "%",
        ),
        row(
            "entry host, CPU per served group",
            "control_cost.py",
            [(p["groups"], p["cpu_percent"]) for p in groups],
            "%",
        ),
        row(
            "entry host, bytes per served group",
            "control_cost.py",
            [(p["groups"], p["bytes_per_s"]) for p in groups],
            "B/s",
        ),
        row(
            "cluster state per group (with its hosts and endpoints)",
            "scale_model.py",
            [(p["groups"], p["state_bytes"] / BYTES_PER_KB) for p in model],
            "KB",
        ),
        row(
            "periodic work of the control leader, every 100 ms",
            "scale_model.py",
            [(p["groups"], p["tick_ms"]) for p in model],
            "ms",
        ),
        row(
            "restoring a snapshot",
            "scale_model.py",
            [(p["groups"], p["restore_ms"]) for p in model],
            "ms",
        ),
    ]


def role_rows(
    memory_fit: LinearFit, cost: dict[str, Any], model: dict[str, float]
) -> list[tuple[str, ...]]:
    """Return the table rows with the cost of each role at the target size."""
    host, leader = cost["host_at_target"], cost["leader_at_target"]
    served_groups = cost["served_groups"]
    per_host = CALLER_CONNECTIONS / HOSTS
    fits = cost["fits"]
    follower_cpu = fits["follower_cpu_percent"]
    # The leader runs its periodic work every 100 ms, so 1 ms of it is 1 % of a core.
    tick_percent = model["tick_ms"]
    return [
        (
            "entry host, control plane",
            f"{model['state_bytes'] / BYTES_PER_KB / BYTES_PER_KB:.1f} MB of state",
            f"{host['bytes_per_s']:.0f} B/s with {served_groups:.1f} served groups",
            f"{host['cpu_percent']:.2f} % of a core",
            "3 % of a core, 256 MB, 8 KB/s",
        ),
        (
            "entry host, caller side",
            f"{memory_fit.slope * per_host:.0f} MB for {per_host:.0f} connections",
            f"{STATEMENTS_PER_S / HOSTS:.0f} statements/s",
            "see bench/overhead.py",
            "a third of a core",
        ),
        (
            "control leader",
            f"{model['state_bytes'] / BYTES_PER_KB / BYTES_PER_KB:.1f} MB of state",
            f"{leader['bytes_per_s'] / BYTES_PER_KB:.0f} KB/s",
            f"{leader['cpu_percent']:.0f} % of a core, "
            f"and {tick_percent:.0f} % for periodic work",
            "one core",
        ),
        (
            "control follower",
            "the same state",
            f"{HOSTS / (CONTROL_HOSTS - 1):.0f} attached hosts",
            # Fitted with three control hosts, among which all attached hosts were
            # spread; at the target size, six followers share them.
            f"{follower_cpu['base'] + follower_cpu['slope'] * HOSTS / 6 * 3:.0f} % "
            "of a core",
            "one core",
        ),
    ]


def replace_table(page: str, name: str, text: str) -> str:
    """Return the page with the text between a table's two markers replaced.

    Raises `ValueError` unless the page has the markers exactly once.
    """
    pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end of {name} -->)", re.DOTALL)
    replaced, count = pattern.subn(lambda m: f"{m.group(1)}{text}\n{m.group(2)}", page)
    if count != 1:
        raise ValueError(f"{PAGE}: expected one marked table {name!r}, found {count}")
    return replaced


def main() -> None:
    """Run all measurements, rewrite the page and print the results as JSON."""
    connections = asyncio.run(connection_memory())
    model = [scale_model.measure(hosts, groups) for hosts, groups in MODEL_SIZES]
    cost = asyncio.run(control_cost.measure())
    page = PAGE.read_text()
    slopes = slope_rows(connections, cost, model)
    page = replace_table(page, "slopes", markdown_table(SLOPE_HEADER, slopes))
    roles = role_rows(fit_line(connections), cost, model[-1])
    page = replace_table(page, "roles", markdown_table(ROLE_HEADER, roles))
    PAGE.write_text(page)
    print(json.dumps({"connections": connections, "model": model, "cost": cost}))
    sys.exit(0)


if __name__ == "__main__":
    main()
