"""Planned work on real processes under mixed load.

Runs the hosts of `deploy/system.toml` from this repository, with the stand-ins of
`review/harness.py`. A seed chooses the load, the endpoints and the planned work:
SIGTERM to entry and control hosts, SIGHUP, new configurations and replacement of
endpoints, in series and overlapping. Nothing fails otherwise. Targets: no accepted
statement is lost, no refusal is false, no write is committed twice, and each process
ends by itself within the grace period, and only after a SIGTERM. Times depend on the
machine, so a seed repeats conditions and draws, but not each order of events.
"""

import argparse
import asyncio
import importlib
import json
import os
import random
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, replace
from functools import partial
from pathlib import Path
from signal import SIGHUP, SIGKILL, SIGTERM
from typing import Any, Final

from bench.stop_callers import Callers, Routes
from bench.stop_history import (
    GRACE_PERIOD_S,
    Change,
    Passage,
    PlannedWork,
    Reload,
    StatementRecord,
    Stop,
    describe_loss,
    describe_stop,
    find_false_refusals,
    find_repeated_commits,
    judge_closes,
)
from bench.stop_load import draw_shape

REVIEW_FOLDER: Final = Path(__file__).resolve().parents[1] / "review"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTLE_S: Final = 5.0  # from readiness to the first caller
LOAD_BEFORE_WORK_S: Final = 4.0
PLANNED_WORK_S: Final = 26.0  # no work is started later than this
MAX_TIMEOUT_MS: Final = 6_000
RUN_TIMEOUT_S: Final = 150.0
DRAIN_S: Final = 7.0  # for which a leaving endpoint serves after the acknowledgement
WAIT_SAMPLE_S: Final = 0.1
GONE_STATES: Final = ("Z", "X", "unknown")  # of a process that has ended
BUSY_MACHINE_S: Final = 1.0  # without a processor, for a stopping host or this process
STALL_CHECK_S: Final = 0.05
MIN_STALL_S: Final = 0.2
START_TIMEOUT_S: Final = 20.0
MIN_SERVED: Final = 500  # operations, below which a run shows nothing
FAILURE_DOMAINS: Final = ("east-1", "east-1", "east-1", "west-1", "west-1", "west-1")
CONTROL_DOMAINS: Final = ("east-1", "west-1", "south-1")


class Run:
    """One run: the fleet, its load and its planned work."""

    def __init__(self, harness: Any, seed: int, folder: Path) -> None:
        self._harness = harness
        self._record = harness.Record(folder)
        self._folder = folder
        self._fleet = harness.Fleet(self._record, CONTROL_DOMAINS, FAILURE_DOMAINS)
        self._fleet.library_path = REVIEW_FOLDER.parent / "src"
        random.seed(seed)
        self._seed = seed
        self.shape = draw_shape(random.Random(seed))
        self._routes = Routes(self.shape)
        self._callers = Callers(
            harness, self._record, self._fleet, self.shape, self._routes, seed
        )
        self._operator = harness.Operator(self._fleet, self._record)
        self._services = [
            harness.Service(name, self._record, limit=self.shape.connection_limit)
            for name in ("core", "desk")
        ]
        self._endpoint_count = 0
        self._silent_until_s: dict[str, float] = defaultdict(float)
        self._left_s: dict[str, float] = {}
        self._passages: dict[str, list[Passage]] = defaultdict(list)
        self._version = 3
        self._stopping: set[str] = set()
        self._stops: list[Stop] = []
        self._reloads: list[Reload] = []
        self._changes: list[Change] = []
        self._unplanned_ends: list[str] = []
        self._stalls: list[tuple[float, float]] = []

    def _now(self) -> float:
        return float(self._record.now())

    # Endpoints

    async def _start_endpoint(self, service: Any, domain: str, role: str) -> Any:
        self._endpoint_count += 1
        name = f"i-{service.name[0]}{self._endpoint_count}"
        address = f"{self._fleet.network}.{100 + self._endpoint_count}:8080"
        endpoint = self._harness.Server(
            service, name, domain, address, self._fleet, self._record, role=role
        )
        usual_work_s = endpoint.work_time_s

        def work_time_s(kind: str) -> float:
            silent_s = max(0.0, self._silent_until_s[name] - self._now())
            return float(usual_work_s(kind) * self.shape.slowness + silent_s)

        endpoint.work_time_s, endpoint.spread = work_time_s, 0.5
        endpoint.on_received = partial(self._on_received, name)
        endpoint.on_run = lambda request, _: self._update_passage(
            name, request, "started_s"
        )
        endpoint.on_end = lambda request: self._update_passage(name, request, "ended_s")
        if role == "replica" and service.primary is not None:
            endpoint.term = service.term
            endpoint.catch_up()
        await endpoint.start()
        return endpoint

    def _on_received(self, endpoint: str, request: str) -> None:
        if request != "-":
            self._passages[request].append(Passage(endpoint, self._now()))

    def _update_passage(self, endpoint: str, request: str, field: str) -> None:
        passages = self._passages.get(request, [])
        for index in range(len(passages) - 1, -1, -1):
            if passages[index].endpoint == endpoint:
                change: dict[str, Any] = {field: self._now()}
                passages[index] = replace(passages[index], **change)
                return

    async def _silence_endpoints(self, until_s: float, source: random.Random) -> None:
        while self._now() < until_s:
            await asyncio.sleep(source.uniform(1.0, 4.0))
            service = source.choice(self._services)
            endpoint = source.choice(service.servers)
            silent_s = source.uniform(0.5, 3.0)
            self._silent_until_s[endpoint.id] = self._now() + silent_s
            self._record(f"server {endpoint.id} is silent for {silent_s:.2f} s")

    async def _replace_endpoint(self, service: Any, leaving: Any) -> None:
        source = random.Random(f"{self._seed}/{leaving.id}")
        await self._start_endpoint(service, leaving.zone, "replica")
        await asyncio.sleep(1.0)
        leaving.drain()
        for _ in range(100):
            if leaving.drain_ack_at is not None:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(DRAIN_S + source.uniform(0.2, 1.5))
        self._left_s[leaving.id] = self._now()
        await leaving.leave()
        if leaving.role != "primary":
            service.servers.remove(leaving)

    async def _replace_endpoints(self, until_s: float, source: random.Random) -> None:
        """Replace all endpoints of a service, one by one or overlapping."""
        service = source.choice(self._services)
        is_overlapping = source.random() < 0.7
        async with asyncio.TaskGroup() as group:
            for leaving in source.sample(service.servers, 3):
                if self._now() > until_s - DRAIN_S:
                    return
                task = group.create_task(self._replace_endpoint(service, leaving))
                if is_overlapping:
                    await asyncio.sleep(source.uniform(0.5, 4.0))
                else:
                    await task

    # Planned work on hosts

    async def _stop(self, host: str) -> None:
        """Stop a process as the platform does, and start it again."""
        source = random.Random(f"{self._seed}/{host}/{len(self._stops)}")
        self._stopping.add(host)
        process = self._fleet.processes[host]
        at_s = self._now()
        if process.returncode is not None:
            self._unplanned_ends.append(f"{host}: exit status {process.returncode}")
        else:
            wall_ms = time.time() * 1_000.0
            self._record(f"the next SIGTERM is at time_ms {wall_ms:.0f}")
            self._fleet.send_signal(host, SIGTERM)
            waits, kill = [processor_wait(process.pid)[1]], ""
            while process.returncode is None and not kill:
                with suppress(TimeoutError):
                    async with asyncio.timeout(WAIT_SAMPLE_S):
                        await process.wait()
                state, wait_s = processor_wait(process.pid)
                waits.append(max(wait_s, waits[-1]))
                is_alive = process.returncode is None and state not in GONE_STATES
                if is_alive and self._now() >= at_s + GRACE_PERIOD_S:
                    kill = f"killed in state {state}"
                    self._fleet.send_signal(host, SIGKILL)
            await process.wait()
            ended_s = self._now()
            is_entry = host in self._fleet.entries
            status = process.returncode or 0
            waited_s = waits[-1] - waits[0]
            stop = Stop(host, at_s, ended_s, is_entry, waited_s, kill, status)
            self._record(f"process {host} ended after {ended_s - at_s:.3f} s")
            self._stops.append(stop)
        await asyncio.sleep(source.uniform(0.1, 1.0))
        await self._fleet.start(host)
        started_s = self._now()
        while not await self._answers(host):
            if self._now() > started_s + START_TIMEOUT_S:
                self._unplanned_ends.append(f"{host}: does not answer after its start")
                break
            await asyncio.sleep(0.2)
        self._stopping.discard(host)

    async def _answers(self, host: str) -> bool:
        """Whether a started process serves HTTP, so that it handles signals, too."""
        if host in self._fleet.controls:
            address = self._fleet.control_address(host)
        else:
            address = self._fleet.readiness_address(host)
        return await self._harness.http(address, "GET", "/v1/readiness") is not None

    async def _stop_entry_hosts(self, until_s: float, source: random.Random) -> None:
        async with asyncio.TaskGroup() as group:
            while self._now() < until_s:
                running = [h for h in self._fleet.entries if h not in self._stopping]
                is_half = source.random() < 0.4
                is_overlapping = is_half or source.random() < 0.5
                count = len(self._fleet.entries) // 2 if is_half else 2
                hosts = source.sample(running, min(count, len(running)))
                if 2 * len(running) <= len(self._fleet.entries):
                    hosts = []  # Never stop all hosts at once.
                for host in hosts:
                    if self._now() >= until_s:
                        return
                    task = group.create_task(self._stop(host))
                    if not is_overlapping:
                        await task
                    elif not is_half:
                        await asyncio.sleep(source.uniform(0.5, 3.0))
                await asyncio.sleep(source.uniform(1.0, 7.0))

    async def _stop_control_hosts(self, until_s: float, source: random.Random) -> None:
        while self._now() < until_s:
            await asyncio.sleep(source.uniform(0.5, 4.0))
            await self._stop(source.choice(self._fleet.controls))

    async def _reload_hosts(self, until_s: float, source: random.Random) -> None:
        while self._now() < until_s:
            await asyncio.sleep(source.uniform(0.3, 2.0))
            running = [h for h in self._fleet.processes if h not in self._stopping]
            host = source.choice(running)
            if source.random() < 0.5:
                path = self._fleet.folder / host / "settings.json"
                settings = json.loads(path.read_text())
                settings["seeds"] = settings["seeds"][1:] + settings["seeds"][:1]
                path.with_suffix(".new").write_text(json.dumps(settings))
                path.with_suffix(".new").rename(path)
                self._record(f"settings of {host} change")
            self._reloads.append(Reload(host, self._now()))
            self._fleet.send_signal(host, SIGHUP)

    async def _change_configuration(
        self, until_s: float, source: random.Random
    ) -> None:
        while self._now() < until_s:
            await asyncio.sleep(source.uniform(0.2, 2.5))
            routes = self._routes
            for database, timeout_ms in self.shape.timeouts_ms.items():
                if source.random() < 0.3:
                    timeout_ms = round(timeout_ms * source.uniform(0.8, 1.5))
                    routes.timeouts_ms[database] = min(MAX_TIMEOUT_MS, timeout_ms)
            if routes.added and source.random() < 0.4:
                routes.added.pop(0)
            elif source.random() < 0.5:
                routes.added.append(f"new{self._version}")
            await self._send_configuration()

    async def _send_configuration(self) -> bool:
        self._version += 1 + self._version % 3  # Versions increase unevenly.
        services = [(s.name, s.limit, 0) for s in self._services]
        rows = self._routes.rows()
        manifest = self._harness.manifest(self._version, services, rows)
        sent, sent_s = self._routes.record_sent(), self._now()
        acknowledged_s = await self._operator.replace(manifest)
        self._changes.append(Change(sent_s, acknowledged_s))
        if acknowledged_s is not None:
            self._routes.record_acknowledged(sent)
        return acknowledged_s is not None

    # The run and its report

    async def play(self) -> dict[str, Any] | None:
        """Run the load and the planned work; return the report, None if not run."""
        try:
            if not await self._start():
                return None
            self._callers.start()
            stall_watch = asyncio.create_task(self._watch_for_stalls())
            await asyncio.sleep(LOAD_BEFORE_WORK_S)
            until_s = self._now() + PLANNED_WORK_S
            streams: dict[str, Callable[[float, random.Random], Any]] = {
                "entry": self._stop_entry_hosts,
                "control": self._stop_control_hosts,
                "reload": self._reload_hosts,
                "change": self._change_configuration,
                "replace": self._replace_endpoints,
                "silent": self._silence_endpoints,
            }
            async with asyncio.TaskGroup() as group:
                for name in ("entry", *self.shape.streams):
                    source = random.Random(f"{self._seed}/{name}")
                    group.create_task(streams[name](until_s, source))
            await asyncio.sleep(1.0)
            await self._callers.stop()
            stall_watch.cancel()
            return self._report()
        finally:
            for service in self._services:
                for endpoint in service.servers:
                    if endpoint.is_up:
                        endpoint.crash()
            await self._fleet.stop_all(str(self._folder))
            self._record.close()

    async def _start(self) -> bool:
        platform = self._harness.Platform(
            self._fleet.platform_address, self._services, self._record
        )
        await platform.start()
        for service in self._services:
            domains = random.sample(CONTROL_DOMAINS, 3)
            for domain, role in zip(
                domains, ("primary", "replica", "replica"), strict=True
            ):
                await self._start_endpoint(service, domain, role)
        await self._fleet.start_all()
        await asyncio.sleep(1.0)
        is_started = await self._send_configuration() and await self._fleet.wait_ready()
        await asyncio.sleep(SETTLE_S)
        return bool(is_started)

    async def _watch_for_stalls(self) -> None:
        """Record when the machine did not let this process run in time."""
        while True:
            due_s = self._now() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            late_s = self._now() - due_s
            if late_s >= MIN_STALL_S:
                self._stalls.append((due_s, due_s + late_s))

    def _report(self) -> dict[str, Any]:
        callers, stops = self._callers, self._stops
        statements = [self._with_passages(s) for s in callers.statements]
        work = PlannedWork(
            self._now(),
            tuple(stops),
            tuple(self._reloads),
            tuple(self._changes),
            tuple(self._stalls),
        )
        judgement = judge_closes(statements, work)
        for loss in judgement.losses:
            print(describe_loss(loss, work), flush=True)
        for statement in judgement.unplanned:
            print(f"closed beside no planned work: {statement}", flush=True)
        primaries = [service.primary for service in self._services]
        logs = [[c.request for c in primary.log] for primary in primaries if primary]
        committed = {request for log in logs for request in log}
        violations = {
            "lost": [loss.statement.request for loss in judgement.losses],
            "false_refusals": [
                attempt.commit_request
                for attempt in find_false_refusals(callers.attempts, committed)
            ],
            "twice": find_repeated_commits(logs),
            "killed": [describe_stop(stop) for stop in stops if stop.kill],
            "unplanned_ends": self._all_unplanned_ends(),
        }
        return {
            "is_broken": any(violations.values()),
            "is_machine_busy": any(
                wait_s >= BUSY_MACHINE_S
                for wait_s in (
                    *(until_s - from_s for from_s, until_s in self._stalls),
                    *(stop.waited_s for stop in stops),
                )
            ),
            "violations": violations,
            "shapes": Counter(
                f"{loss.cause}: {loss.shape}" for loss in judgement.losses
            ),
            "closed_beside_no_planned_work": len(judgement.unplanned),
            "excused": judgement.excuses,
            "stalls_s": [f"{a:.2f} to {b:.2f}" for a, b in self._stalls],
            "logged_errors": self._count_logged_errors(),
            "stops": [describe_stop(stop) for stop in stops],
            "operations": Counter(result for _, result in callers.operations),
            "operations_beside_stops": Counter(
                result
                for ended_s, result in callers.operations
                if any(stop.covers(ended_s) for stop in stops if stop.is_entry)
            ),
            "attempts_at_stopping_hosts": Counter(
                attempt.result
                for attempt in callers.attempts
                if work.stop_at(attempt.host, attempt.ended_s)
            ),
            "outcomes": Counter(s.outcome for s in statements),
            "outcomes_at_stopping_hosts": Counter(
                s.outcome for s in statements if work.stop_at(s.host, s.ended_s)
            ),
            "unopened": callers.unopened,
            "ended_with_error": callers.ended_with_error,
        }

    def _with_passages(self, statement: StatementRecord) -> StatementRecord:
        passages = [
            (
                replace(passage, broken_off_s=self._left_s[passage.endpoint])
                if passage.ended_s is None and passage.endpoint in self._left_s
                else passage
            )
            for passage in self._passages.get(statement.request, ())
        ]
        return replace(statement, passages=tuple(passages))

    def _all_unplanned_ends(self) -> list[str]:
        """Return processes that ended without a SIGTERM, or with an error after it."""
        processes = self._fleet.processes
        return [
            *self._unplanned_ends,
            *(
                f"{host}: exit status {processes[host].returncode}"
                for host in self._fleet.unexpected_ends()
            ),
            *(
                f"{stop.host}: exit status {stop.exit_status} after SIGTERM"
                for stop in self._stops
                if stop.exit_status and not stop.kill
            ),
        ]

    def _count_logged_errors(self) -> int:
        logs = (self._fleet.folder / host / "log.txt" for host in self._fleet.processes)
        return sum(log.read_text().count('"level":"error"') for log in logs)


def processor_wait(process_id: int) -> tuple[str, float]:
    """Return a process's state and for how long it has waited for a processor so far.

    Zero if the process is gone or the system does not tell.
    """
    folder = Path("/proc") / str(process_id)
    try:
        state = (folder / "stat").read_text().rpartition(")")[2].split()[0]
        return state, int((folder / "schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return "unknown", 0.0


def play(harness: Any, seed: int, folder: Path) -> int:
    """Play one seed, print its report and return its exit status."""
    folder.mkdir(parents=True, exist_ok=True)
    run = Run(harness, seed, folder)

    async def play_in_time() -> dict[str, Any] | None:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            return await run.play()

    report = None
    with suppress(TimeoutError):
        report = asyncio.run(play_in_time())
    status = NOT_RUN
    if report is not None and report["operations"]["served"] >= MIN_SERVED:
        status = BROKEN if report["is_broken"] else HELD
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status]
    line = {"seed": seed, "verdict": verdict, "shape": asdict(run.shape)}
    text = json.dumps(line | (report or {}))
    (folder / "report.json").write_text(text + "\n")
    print(text, flush=True)
    return status


def main() -> None:
    """Play the seeds from `--seed` on, one after the other."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--keep-logs", type=Path)
    arguments = parser.parse_args()
    sys.path.insert(0, str(REVIEW_FOLDER))
    harness = importlib.import_module("harness")
    # The hosts run with this interpreter's packages and this repository's sources.
    os.environ["PATH"] = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    statuses = set()
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.keep_logs or Path(temporary)
        for seed in range(arguments.seed, arguments.seed + arguments.runs):
            statuses.add(play(harness, seed, folder / f"seed-{seed}"))
    sys.exit(BROKEN if BROKEN in statuses else max(statuses))


if __name__ == "__main__":
    main()
