"""Validation of the file that tells the platform how to build and run the hosts."""

import tomllib
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.settings import Finding

SERVICE_BY_ROLE: Final = {"entry": "frontend", "control": "control_plane"}


def check_deployment(file: Path) -> Result[None, tuple[Finding, ...]]:
    """Check that a deployment file runs both kinds of hosts; return all findings."""
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err((Finding(str(file), f"cannot be read: {error}"),))
    findings: list[Finding] = []

    def add_finding(place: str, problem: str) -> None:
        findings.append(Finding(f"{file}:{place}", problem))

    if not isinstance(document.get("build"), str):
        add_finding("build", "must be a command")
    roles = document.get("roles")
    if not isinstance(roles, dict):
        add_finding("roles", "must be a table of roles")
        roles = {}
    for name, service in SERVICE_BY_ROLE.items():
        role = roles.get(name)
        if not isinstance(role, dict):
            add_finding(f"roles.{name}", "is missing")
        else:
            _check_role(role, name, service, add_finding)
    return Err(tuple(findings)) if findings else Ok(None)


def _check_role(
    role: dict[str, Any], name: str, service: str, add_finding: Any
) -> None:
    place = f"roles.{name}"
    if not str(role.get("run", "")).endswith(f"azurerelay.hosts {name}"):
        add_finding(f"{place}.run", f"must end with 'azurerelay.hosts {name}'")
    if service not in role.get("serves", []):
        add_finding(f"{place}.serves", f"must include {service!r}")
    share = role.get("share")
    if share is not None and not (
        isinstance(share, int | float) and 0.0 < share <= 1.0
    ):
        add_finding(f"{place}.share", "must be above 0 and at most 1")
