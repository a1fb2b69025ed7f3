"""Paths of the settings tree.

A path is "/", "/region", "/region/service" or "/region/service/group".
"""

import re
from typing import Final

from azurerelay.settings._finding import Finding

GROUP_DEPTH: Final = 3
_SEGMENT_PATTERN: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")


def path_segments(path: str) -> tuple[str, ...]:
    """Return the names in a path, the region first."""
    return tuple(part for part in path.split("/") if part)


def path_ancestors(path: str) -> tuple[str, ...]:
    """Return the path and all paths above it, the root last."""
    names = path_segments(path)
    return tuple("/" + "/".join(names[:depth]) for depth in range(len(names), -1, -1))


def check_path(path: str) -> Finding | None:
    """Return why a path is invalid, or None."""
    if path == "/":
        return None
    names = path_segments(path)
    if path != "/" + "/".join(names):
        return Finding(path, "path must start with / and have no empty part")
    if len(names) > GROUP_DEPTH:
        return Finding(path, "path is deeper than /region/service/group")
    for name in names:
        if not _SEGMENT_PATTERN.fullmatch(name):
            return Finding(path, f"{name!r} is not a name of a-z, 0-9 and -")
    return None
