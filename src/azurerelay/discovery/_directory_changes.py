"""The difference between two revisions of an endpoint directory."""

from dataclasses import dataclass

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """What changed in an endpoint directory after a revision.

    `announcements` are the endpoints that were added or changed, `departures` those
    that said that they left, and `removed` names those that are no longer listed.
    """

    announcements: tuple[Announcement, ...]
    departures: tuple[Departure, ...]
    removed: tuple[str, ...]
