"""Endpoints as they announce themselves, by incarnation and sequence."""

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure
from azurerelay.discovery._endpoint_directory import EndpointDirectory

__all__ = ["Announcement", "Departure", "EndpointDirectory"]
