"""Compares ways to choose the endpoint of a read while hosts know little and late.

`python -m bench.placement` prints a table with one line for each number of hosts, age
of knowledge and policy. All policies get the same arrivals and the same disruptions:
one endpoint is slow, fails half of its statements, alternates between down and up, or
does not answer, one after the other. `--seeds`, `--ages`, `--hosts`, `--load`,
`--spread` and `--calm` select other runs.
"""

import argparse
import random
from collections.abc import Iterable
from dataclasses import fields

from azurerelay.experiments import (
    DisruptedPeriod,
    Disruption,
    PlacementExperiment,
    PlacementPolicy,
    PlacementReport,
    PlacementScenario,
)
from azurerelay.pooling import (
    ReadCandidate,
    RequiredPosition,
    choose_by_recent_answers,
    choose_endpoint,
    expected_costs,
    read_cost_ms,
)

HOSTS = (1, 15, 80, 200)
AGES_MS = (0.0, 250.0, 500.0)
PERIODS = (
    DisruptedPeriod(Disruption.SLOW, 1, 8_000.0, 10_000.0),
    DisruptedPeriod(Disruption.FAILING, 2, 22_000.0, 10_000.0),
    DisruptedPeriod(Disruption.FLAPPING, 1, 36_000.0, 9_000.0),
    DisruptedPeriod(Disruption.SILENT, 2, 48_000.0, 3_000.0),
)
# The higher it is, the closer is the weighted choice to the lowest cost.
COST_EXPONENT = 2.0


def choose_at_random(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return any candidate with the lowest penalty for its region."""
    options = list(candidates)
    if not options:
        return None
    nearest_ms = min(option.cross_region_penalty_ms for option in options)
    return random_source.choice(
        [option for option in options if option.cross_region_penalty_ms == nearest_ms]
    )


def choose_of_two(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return the better one of two candidates drawn at random, by today's cost."""
    options = list(candidates)
    drawn = random_source.sample(options, min(2, len(options)))
    return min(drawn, key=read_cost_ms, default=None)


def choose_by_spare_capacity(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return a candidate at random, weighted by the inverse of today's cost."""
    options = list(candidates)
    if not options:
        return None
    weights = [read_cost_ms(option) ** -COST_EXPONENT for option in options]
    return random_source.choices(options, weights)[0]


def regional_costs(
    costs: list[tuple[float, ReadCandidate]],
) -> list[tuple[float, ReadCandidate]]:
    """Leave out what does not save the penalty for leaving a region."""
    return [
        (cost_ms, candidate)
        for cost_ms, candidate in costs
        if all(
            cost_ms < other_ms
            for other_ms, other in costs
            if other.cross_region_penalty_ms < candidate.cross_region_penalty_ms
        )
    ]


def choose_of_two_recent(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return the better one of two candidates, by the cost from recent answers."""
    costs = regional_costs(expected_costs(candidates, required, random_source))
    drawn = random_source.sample(costs, min(2, len(costs)))
    best = min(drawn, key=lambda pair: pair[0], default=None)
    return best[1] if best else None


def choose_by_recent_capacity(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return a candidate at random, weighted by the cost from recent answers."""
    costs = regional_costs(expected_costs(candidates, required, random_source))
    if not costs:
        return None
    weights = [cost_ms**-COST_EXPONENT for cost_ms, _ in costs]
    return random_source.choices(costs, weights)[0][1]


POLICIES: dict[str, PlacementPolicy] = {
    "lowest cost (today)": choose_endpoint,
    "two choices": choose_of_two,
    "spare capacity": choose_by_spare_capacity,
    "recent answers": choose_by_recent_answers,
    "recent, two choices": choose_of_two_recent,
    "recent, spare capacity": choose_by_recent_capacity,
    "random": choose_at_random,
}


def mean_report(reports: list[PlacementReport]) -> dict[str, float]:
    """Return the mean of each figure over runs that differ in their seed."""
    return {
        item.name: sum(getattr(report, item.name) for report in reports) / len(reports)
        for item in fields(PlacementReport)
    }


def main() -> None:
    """Run all combinations and print them as a Markdown table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--hosts", type=int, nargs="+", default=HOSTS)
    parser.add_argument("--ages", type=float, nargs="+", default=AGES_MS)
    parser.add_argument("--load", type=float, default=320.0, help="statements a second")
    parser.add_argument("--spread", action="store_true", help="endpoints in 3 regions")
    parser.add_argument("--calm", action="store_true", help="no disruption")
    arguments = parser.parse_args()
    print(
        "| hosts | age, ms | policy | in time | worst domain | p99, ms | CV "
        "| full and idle | messages | failed |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for hosts in arguments.hosts:
        for age_ms in arguments.ages:
            for name, policy in POLICIES.items():
                reports = [
                    PlacementExperiment(
                        PlacementScenario(
                            hosts,
                            age_ms,
                            seed,
                            arguments.load,
                            is_spread=arguments.spread,
                            periods=() if arguments.calm else PERIODS,
                        ),
                        policy,
                    ).run()
                    for seed in arguments.seeds
                ]
                figures = mean_report(reports)
                print(
                    f"| {hosts} | {age_ms:.0f} | {name} | {figures['in_time']:.4f} "
                    f"| {figures['worst_domain']:.4f} | {figures['p99_ms']:.0f} "
                    f"| {figures['unevenness']:.3f} | {figures['full_and_idle']:.3f} "
                    f"| {figures['messages']:.3f} | {figures['failed_attempts']:.0f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
