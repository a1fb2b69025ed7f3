"""The schema of the settings tree."""

from types import MappingProxyType
from typing import Final

from azurerelay.settings._assignment import SettingValue
from azurerelay.settings._finding import Finding
from azurerelay.settings._setting_spec import SettingSpec

_HOUR_MS: Final = 3_600_000

_SPECS: Final = (
    SettingSpec(
        "reads.max_staleness_ms",
        2_000,
        "ms",
        "The greatest staleness that a read without its own bound accepts.",
        0,
        24 * _HOUR_MS,
    ),
    SettingSpec(
        "reads.catch_up_wait_ms",
        30,
        "ms",
        "How long a read waits for a replica that has not caught up yet.",
        0,
        10_000,
    ),
    SettingSpec(
        "writes.durability",
        "majority",
        "",
        "Which endpoints must hold a write before it is confirmed.",
        choices=("majority", "primary"),
    ),
    SettingSpec(
        "writes.hold_ms",
        3_000,
        "ms",
        "How long a request that needs a primary waits while there is none.",
        0,
        60_000,
    ),
    SettingSpec(
        "requests.timeout_ms",
        5_000,
        "ms",
        "The timeout of a request that does not set one.",
        10,
        120_000,
    ),
    SettingSpec(
        "limits.queue_length",
        200,
        "requests",
        "How many requests may wait for one endpoint at one serving host.",
        0,
        100_000,
    ),
    SettingSpec(
        "limits.connection_percent",
        80,
        "%",
        "The share of an endpoint's connection limit that serving hosts may use.",
        1,
        100,
    ),
    SettingSpec(
        "probes.interval_ms",
        100,
        "ms",
        "How often a serving host asks each endpoint for its position.",
        10,
        60_000,
    ),
    SettingSpec(
        "probes.timeout_ms",
        200,
        "ms",
        "How long a probe waits for its answer.",
        10,
        60_000,
    ),
    SettingSpec(
        "probes.misses",
        3,
        "probes",
        "How many probes in a row must fail before an endpoint is suspected.",
        1,
        100,
    ),
    SettingSpec(
        "serving.set_size",
        3,
        "hosts",
        "How many hosts hold connections to a group's endpoints.",
        1,
        9,
    ),
    SettingSpec(
        "registry.retention_ms",
        600_000,
        "ms",
        "How long the outcome of an idempotency key is kept.",
        1_000,
        48 * _HOUR_MS,
    ),
    SettingSpec(
        "registry.max_entries",
        100_000,
        "entries",
        "How many idempotency keys a group keeps; new ones beyond are refused.",
        10,
        10_000_000,
    ),
    SettingSpec(
        "transactions.idle_ms",
        5_000,
        "ms",
        "A transaction without a statement for this long is rolled back.",
        10,
        600_000,
    ),
    SettingSpec(
        "transactions.max_ms",
        30_000,
        "ms",
        "A transaction older than this is rolled back.",
        10,
        _HOUR_MS,
    ),
    SettingSpec(
        "retries.budget_percent",
        10,
        "%",
        "The number of retries allowed, as a percentage of recent successes.",
        0,
        100,
    ),
    SettingSpec(
        "retries.backoff_ms",
        5,
        "ms",
        "The mean wait before the first retry; doubled for each further one.",
        0,
        10_000,
    ),
    SettingSpec(
        "endpoints.expected",
        3,
        "endpoints",
        "How many endpoints a group should have; majorities count missing ones too.",
        1,
        9,
    ),
    SettingSpec(
        "endpoints.expire_ms",
        3_000,
        "ms",
        "An endpoint that has not announced itself for this long gets no new work.",
        500,
        600_000,
    ),
    SettingSpec(
        "primary.preferred",
        "",
        "",
        "The endpoint that should be primary; if empty, failover chooses.",
    ),
    SettingSpec(
        "failover.flap_window_ms",
        60_000,
        "ms",
        "The window in which changes of primary are counted; 0 disables damping.",
        0,
        _HOUR_MS,
    ),
    SettingSpec(
        "failover.flap_free_changes",
        2,
        "changes",
        "How many changes of primary in the window are not delayed.",
        1,
        100,
    ),
    SettingSpec(
        "hosts.expire_ms",
        3_000,
        "ms",
        "A host without a heartbeat for this long and without a lease is removed.",
        500,
        600_000,
        is_root_only=True,
    ),
    SettingSpec(
        "leases.duration_ms",
        1_200,
        "ms",
        "How long a host may confirm requests without a renewal by the leader.",
        200,
        30_000,
        is_root_only=True,
    ),
)

SCHEMA: Final = MappingProxyType({spec.key: spec for spec in _SPECS})
MAX_TEXT_LENGTH: Final = 200


def check_value(place: str, key: str, value: SettingValue) -> Finding | None:
    """Return why a value is not valid for a setting, or None.

    `place` locates the assignment in the finding, for example as a path and key.
    """
    spec = SCHEMA.get(key)
    if spec is None:
        return Finding(place, f"unknown setting {key!r}")
    if spec.choices:
        if value not in spec.choices:
            return Finding(place, f"{key} must be one of {', '.join(spec.choices)}")
        return None
    if isinstance(spec.default, str):
        if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
            return Finding(place, f"{key} must be a text of up to {MAX_TEXT_LENGTH}")
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        return Finding(place, f"{key} must be a whole number of {spec.unit}")
    if not spec.minimum <= value <= spec.maximum:
        return Finding(
            place,
            f"{key} must be {spec.minimum} to {spec.maximum} {spec.unit}, not {value}",
        )
    return None
