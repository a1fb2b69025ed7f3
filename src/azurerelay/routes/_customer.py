"""A customer, whose callers identify themselves by its keys."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its quota, over all hosts together.

    `keys` are left out of the representation, since they must not get into logs.
    `rate_per_s` is how many operations it may start a second, None without a limit, and
    `burst` how many more at once after a time with fewer.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    rate_per_s: float | None = None
    burst: float = 0.0
