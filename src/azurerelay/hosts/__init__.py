"""Processes that run an entry host or a control host on the platform."""

from azurerelay.hosts._run import run_host
from azurerelay.hosts._settings_file import is_platform_settings, load_host_settings

__all__ = [
    "is_platform_settings",
    "load_host_settings",
    "run_host",
]
