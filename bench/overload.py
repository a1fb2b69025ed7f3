"""Goodput under overload of an embedded system on simulated time.

Stale reads arrive at 0.5, 1, 2 and 5 times the capacity of the replicas' slots, then
at 2 times with one replica at a tenth of its speed. One greedy caller sends half of
them. The baseline at 5 times has an unbounded queue. Targets: goodput at 5 times is at
least 0.9 of the peak, the p99 latency of completed reads is within the deadline, every
caller completes reads, and connections stay within the limit.
"""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from azurerelay.embedded import CHILDCARE, EmbeddedSystem
from azurerelay.endpoints import KnobsCall
from azurerelay.requests import CallerRequest, ErrorCode, Operation
from azurerelay.timing import ManualTimerService, spawn
from bench.report import percentile, print_report_and_exit

SERVICE_MS = 10.0
SLOTS_PER_REPLICA = 3
REPLICAS = 2
DEADLINE_MS = 500.0
LOAD_DURATION_S = 4.0
WARM_UP_MS = 1_000.0
CALLERS = 20
MIN_GOODPUT_RATIO = 0.9
UNBOUNDED_QUEUE_LENGTH = 100_000
GROUP = "roster-north"
CAPACITY_PER_S = REPLICAS * SLOTS_PER_REPLICA * 1_000.0 / SERVICE_MS


@dataclass(slots=True)
class Outcomes:
    """Outcomes of the reads sent after the warm-up.

    `late` reads were completed after the deadline, `shed` ones refused as overloaded.
    """

    done: int = 0
    late: int = 0
    shed: int = 0
    other: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    done_by_caller: Counter[str] = field(default_factory=Counter)


def run_case(
    load_factor: float, queue_length: int, has_slow_replica: bool
) -> dict[str, float]:
    """Send reads at a multiple of the capacity and return the results.

    Arrivals are a Poisson process. Reads sent in the last `DEADLINE_MS` are not
    counted.
    """
    timers = ManualTimerService()
    random_source = random.Random(5)
    shape = replace(
        CHILDCARE,
        groups=(GROUP,),
        service_ms=SERVICE_MS,
        slots=SLOTS_PER_REPLICA,
        entry_hosts=3,
    )
    system = EmbeddedSystem(shape, timers, random_source)
    system.start()
    assert timers.advance_until(system.is_settled, 20_000)
    change = system.change_settings("/", "limits.queue_length", queue_length)
    timers.advance_until(lambda: change.is_done, 2_000)
    if has_slow_replica:
        replica = next(
            name for name in system.standins if name != system.primary(GROUP)
        )
        system.standins[replica].request(KnobsCall(service_ms=SERVICE_MS * 10))
    outcomes = Outcomes()
    measure_from_ms = timers.now_ms() + WARM_UP_MS
    end_ms = measure_from_ms + LOAD_DURATION_S * 1_000.0
    rate_per_ms = CAPACITY_PER_S * load_factor / 1_000.0

    async def send_read(caller: str) -> None:
        sent_ms = timers.now_ms()
        answer = await system.call(
            random_source.choice(("entry-1", "entry-2", "entry-3")),
            CallerRequest(
                operation=Operation.READ,
                group=GROUP,
                timeout_ms=DEADLINE_MS,
                caller=caller,
                statement="get",
                parameters=("k",),
            ),
        )
        if sent_ms < measure_from_ms or sent_ms >= end_ms - DEADLINE_MS:
            return
        latency_ms = timers.now_ms() - sent_ms
        if answer is None or not answer.is_done:
            is_shed = answer is not None and answer.code is ErrorCode.OVERLOADED
            outcomes.shed += is_shed
            outcomes.other += not is_shed
            return
        outcomes.latencies_ms.append(latency_ms)
        if latency_ms > DEADLINE_MS:
            outcomes.late += 1
            return
        outcomes.done += 1
        outcomes.done_by_caller[caller] += 1

    def on_arrival() -> None:
        if timers.now_ms() >= end_ms:
            return
        is_greedy = random_source.random() < 0.5
        caller = "greedy" if is_greedy else f"caller{random_source.randrange(CALLERS)}"
        spawn(send_read(caller))
        timers.call_later(random_source.expovariate(rate_per_ms), on_arrival)

    on_arrival()
    timers.advance(end_ms - timers.now_ms() + 5_000.0)
    measured_s = LOAD_DURATION_S - DEADLINE_MS / 1_000.0
    starved = sum(
        outcomes.done_by_caller[f"caller{number}"] == 0 for number in range(CALLERS)
    )
    return {
        "goodput": round(outcomes.done / measured_s),
        "late": outcomes.late,
        "shed": outcomes.shed,
        "other": outcomes.other,
        "p99_ms": round(percentile(outcomes.latencies_ms, 0.99)),
        "starved": starved,
        "peak_connections": max(s.peak_connections for s in system.standins.values()),
    }


def main() -> None:
    """Run all cases and print the report."""
    cases: dict[str, dict[str, float]] = {}
    for load_factor in (0.5, 1.0, 2.0, 5.0):
        cases[f"{load_factor} times"] = run_case(load_factor, 64, False)
    cases["2 times, one replica at a tenth"] = run_case(2.0, 64, True)
    baseline = run_case(5.0, UNBOUNDED_QUEUE_LENGTH, False)
    for name, case in (*cases.items(), ("baseline, 5 times", baseline)):
        print(name, case, flush=True)
    peak = max(case["goodput"] for case in cases.values())
    goodput_ratio = cases["5.0 times"]["goodput"] / peak
    print_report_and_exit(
        "overload",
        {
            "capacity_per_s": CAPACITY_PER_S,
            "cases": cases,
            "baseline_unbounded_queue_at_5_times": baseline,
            "goodput_ratio_at_5_times": round(goodput_ratio, 3),
        },
        {
            "goodput": goodput_ratio >= MIN_GOODPUT_RATIO,
            "p99": all(case["p99_ms"] <= DEADLINE_MS for case in cases.values()),
            "starved": all(case["starved"] == 0 for case in cases.values()),
            "connections": all(
                case["peak_connections"] <= CHILDCARE.connection_limit
                for case in cases.values()
            ),
        },
    )


if __name__ == "__main__":
    main()
