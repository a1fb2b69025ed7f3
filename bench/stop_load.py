"""Seeded load and conditions of `bench.stop_under_load`."""

import random
from dataclasses import dataclass
from typing import Final

ROUTE_KINDS: Final = ("primary", "bounded_staleness", "read_own_writes")
TIMEOUTS_MS: Final = (800, 1_500, 2_500, 4_000, 6_000)
MIN_BUDGET_S: Final = 3.0  # of a caller, for an operation with its retries
BUDGET_FACTOR: Final = 1.25  # of a route's time-out, if that gives more
WRITE_SHARES: Final = {
    "primary": 0.35,
    "bounded_staleness": 0.0,
    "read_own_writes": 0.12,
}
TRANSACTION_SHARES: Final = {
    "primary": 0.25,
    "bounded_staleness": 0.10,
    "read_own_writes": 0.12,
}
MAX_TRANSACTION_STATEMENTS: Final = 12
PREPARED_SHARE: Final = 0.2  # of single statements
ROLLBACK_SHARE: Final = 0.1  # of transactions
STREAM_PROBABILITIES: Final = {
    "control": 0.4,
    "reload": 0.5,
    "change": 0.6,
    "replace": 0.7,
}


@dataclass(frozen=True, slots=True)
class RunShape:
    """The conditions of a run; databases are keys of the dictionaries."""

    connection_limit: int  # of an endpoint
    slowness: float  # factor on the work of endpoints
    session_count: int  # long sessions
    kinds: dict[str, str]
    groups: dict[str, str]
    timeouts_ms: dict[str, int]
    budgets_s: dict[str, float]
    streams: tuple[str, ...]  # of planned work besides stops of entry hosts


@dataclass(frozen=True, slots=True)
class Operation:
    """The statements of an operation and the mean pause between them."""

    texts: tuple[str, ...]
    is_write: bool  # the last statement makes a write durable
    pause_s: float = 0.0
    prepared: str = ""  # name, kind and shape of the statement that it executes


def draw_shape(source: random.Random) -> RunShape:
    """Draw the conditions of a run."""
    endpoints = source.choice(("quick", "slow", "silent"))
    streams = [n for n, p in STREAM_PROBABILITIES.items() if source.random() < p]
    if endpoints == "silent":
        streams.append("silent")
    databases = {f"book{n}": kind for n, kind in enumerate(ROUTE_KINDS * 2)}
    timeouts_ms = {name: source.choice(TIMEOUTS_MS) for name in databases}
    return RunShape(
        connection_limit=45 if source.random() < 0.5 else source.randint(9, 16),
        slowness=4.0 if endpoints == "slow" else 1.0,
        session_count=source.choice((40, 70, 100)),
        kinds=databases,
        groups={name: source.choice(("core", "desk")) for name in databases},
        timeouts_ms=timeouts_ms,
        budgets_s={
            name: max(MIN_BUDGET_S, BUDGET_FACTOR * timeout_ms / 1_000.0)
            for name, timeout_ms in timeouts_ms.items()
        },
        streams=tuple(streams),
    )


def draw_operation(kind: str, source: random.Random) -> Operation:
    """Draw a statement or a transaction as callers of a kind of route send it."""
    item = f"k{source.randrange(500)}"
    draw = source.random()
    if draw < TRANSACTION_SHARES[kind]:
        return _draw_transaction(kind, source)
    is_write = draw < TRANSACTION_SHARES[kind] + WRITE_SHARES[kind]
    if source.random() < PREPARED_SHARE:
        text = f"EXECUTE pw {item} v1" if is_write else f"EXECUTE pr {item}"
        prepared = "pw WRITE q1" if is_write else "pr READ q1"
        return Operation((text,), is_write, prepared=prepared)
    text = f"WRITE {item} v1" if is_write else f"READ {item}"
    return Operation((text,), is_write)


def _draw_transaction(kind: str, source: random.Random) -> Operation:
    is_read_only = kind == "bounded_staleness" or source.random() < 0.3
    count = source.randint(2, MAX_TRANSACTION_STATEMENTS)
    texts = ["BEGIN READ" if is_read_only else "BEGIN"]
    for _ in range(count):
        item = f"k{source.randrange(500)}"
        is_write = not is_read_only and source.random() < 0.5
        texts.append(f"WRITE {item} v1" if is_write else f"READ {item}")
    has_written = any(text.startswith("WRITE") for text in texts)
    is_rolled_back = source.random() < ROLLBACK_SHARE
    texts.append("ROLLBACK" if is_rolled_back else "COMMIT")
    pause_s = source.choice((0.0, 0.05, 0.15, 0.4))
    return Operation(tuple(texts), has_written and not is_rolled_back, pause_s)
