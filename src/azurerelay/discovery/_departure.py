"""Departures of endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Departure:
    """States that an endpoint has departed.

    Its announcements with this or an earlier incarnation are to be ignored.
    """

    endpoint: str
    incarnation: int
