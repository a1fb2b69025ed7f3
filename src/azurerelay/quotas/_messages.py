"""Messages about the operations of customers.

They are sent several times a second, so counts are encoded as arrays without names.
A customer has one count for each time that operations have waited.
"""

from dataclasses import dataclass
from typing import NamedTuple


class OperationCount(NamedTuple):
    """Operations of a customer since the last message.

    Admitted operations count as `started` at once. Those that ended without a start
    are `refunded`, and those that waited long for it are `late`; `waited_ms` is how
    long both have waited, rounded.
    """

    customer: str
    offered: int
    started: int
    refunded: int = 0
    late: int = 0
    waited_ms: int = 0


class AdmissionFraction(NamedTuple):
    """The fraction of a customer's operations that an entry host may admit."""

    customer: str
    fraction: float


@dataclass(frozen=True, slots=True)
class AdmissionReport:
    """The operations at an entry host since its last report to its control host.

    `sent_ms` is the time by the sender's own clock.
    """

    counts: tuple[OperationCount, ...]
    sent_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionCounts:
    """The sums of the reports to a control host since it last sent them to others.

    `sent_ms` is the time by the sender's own clock.
    """

    counts: tuple[OperationCount, ...]
    sent_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """The limited customers, from a control host to its entry hosts.

    Customers that are not listed are not limited.
    """

    fractions: tuple[AdmissionFraction, ...]
