"""The directory of endpoints, built from their heartbeats."""

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure
from azurerelay.discovery._directory_changes import DirectoryChanges
from azurerelay.discovery._endpoint_directory import EndpointDirectory

__all__ = ["Announcement", "Departure", "DirectoryChanges", "EndpointDirectory"]
