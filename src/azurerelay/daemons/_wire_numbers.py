"""Limits of the numbers in JSON bodies, which messages on links must hold."""

import math
from typing import Any, Final

import pydantic

MAX_INTEGER: Final = 2**63 - 1  # the largest signed 64-bit number
_MIN_INTEGER: Final = -(2**63)


def _check_number(value: Any) -> Any:
    """Return a value of any type; raise if it is a number that no message holds."""
    if type(value) is int and not _MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError("must fit a signed 64-bit integer")
    if type(value) is float and not math.isfinite(value):
        raise ValueError("must be a finite number")
    return value


# For unions: their float would accept an integer that is too large for their int.
NUMBER_CHECK: Final = pydantic.BeforeValidator(_check_number)
