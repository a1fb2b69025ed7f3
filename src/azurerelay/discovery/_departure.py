"""The end of an endpoint."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that is gone: no announcement up to `incarnation` counts."""

    endpoint: str
    incarnation: int
