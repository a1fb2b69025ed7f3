"""The file that tells the platform how to build and run the hosts."""

import tomllib
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.settings import Finding

ROLES: Final = {"entry": "frontend", "control": "control_plane"}


def check_deployment(file: Path) -> Result[None, tuple[Finding, ...]]:
    """Check that a deploy file runs both kinds of hosts; report all findings."""
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err((Finding(str(file), f"cannot be read: {error}"),))
    findings: list[Finding] = []

    def report(place: str, problem: str) -> None:
        findings.append(Finding(f"{file}:{place}", problem))

    if not isinstance(document.get("build"), str):
        report("build", "must be a command")
    roles = document.get("roles")
    if not isinstance(roles, dict):
        report("roles", "must be a table of roles")
        roles = {}
    for name, served in ROLES.items():
        role = roles.get(name)
        if not isinstance(role, dict):
            report(f"roles.{name}", "is missing")
        else:
            _check_role(role, name, served, report)
    return Err(tuple(findings)) if findings else Ok(None)


def _check_role(role: dict[str, Any], name: str, served: str, report: Any) -> None:
    place = f"roles.{name}"
    if not str(role.get("run", "")).endswith(f"azurerelay.hosts {name}"):
        report(f"{place}.run", f"must end with 'azurerelay.hosts {name}'")
    if served not in role.get("serves", []):
        report(f"{place}.serves", f"must hold {served!r}")
    share = role.get("share")
    if share is not None and not (
        isinstance(share, int | float) and 0.0 < share <= 1.0
    ):
        report(f"{place}.share", "must be above 0 and at most 1")
