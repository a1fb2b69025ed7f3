"""The settings file of a process."""

from pathlib import Path

from result import Err, Result

from azurerelay.platform import HostSettings, parse_host_settings
from azurerelay.settings import Finding


def load_host_settings(file: Path) -> Result[HostSettings, tuple[Finding, ...]]:
    """Read a settings file, or tell what is wrong with it and where."""
    try:
        data = file.read_bytes()
    except OSError as error:
        return Err((Finding(str(file), error.strerror or "cannot be read"),))
    return parse_host_settings(data, str(file))


def is_platform_settings(file: Path) -> bool:
    """Return whether a file is one that the platform writes, good or bad."""
    try:
        return b'"node_name"' in file.read_bytes()
    except OSError:
        # The caller reports that the file cannot be read.
        return False
