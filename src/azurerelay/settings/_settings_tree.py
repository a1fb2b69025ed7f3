"""The settings tree with inheritance."""

from collections.abc import Iterable
from dataclasses import dataclass

from azurerelay.settings._assignment import Assignment, SettingValue
from azurerelay.settings._effective_setting import EffectiveSetting
from azurerelay.settings._finding import Finding
from azurerelay.settings._paths import (
    GROUP_DEPTH,
    check_path,
    path_ancestors,
    path_segments,
)
from azurerelay.settings._schema import SCHEMA, check_value


@dataclass(frozen=True, slots=True)
class TreeNode:
    """The values that a path sets itself, without those that it inherits."""

    path: str
    assignments: tuple[Assignment, ...]


class SettingsTree:
    """The values set at each path; a path inherits what it does not set.

    A group's name occurs at one path of the tree only.
    """

    def __init__(self, nodes: Iterable[TreeNode] = ()) -> None:
        self._values: dict[str, dict[str, SettingValue]] = {}
        self._group_paths: dict[str, str] = {}
        for node in nodes:
            self._store(node.path, {a.key: a.value for a in node.assignments})

    @property
    def nodes(self) -> tuple[TreeNode, ...]:
        """All nodes that set a value, sorted by path."""
        return tuple(
            TreeNode(path, tuple(Assignment(k, v) for k, v in sorted(values.items())))
            for path, values in sorted(self._values.items())
        )

    def own_value(self, path: str, key: str) -> SettingValue | None:
        """Return the value that the path itself sets, or None if it is inherited."""
        return self._values.get(path, {}).get(key)

    def value(self, path: str, key: str) -> SettingValue:
        """Return the value in force at a path: own, inherited or default."""
        for ancestor in path_ancestors(path):
            value = self.own_value(ancestor, key)
            if value is not None:
                return value
        return SCHEMA[key].default

    def root_number(self, key: str) -> int:
        """Return the integer value in force at the root."""
        return int(self.value("/", key))

    def group_path(self, group: str) -> str:
        """Return the path of a group; the root if no node of the tree is for it."""
        return self._group_paths.get(group, "/")

    def effective(self, path: str) -> tuple[EffectiveSetting, ...]:
        """Return all settings in force at a path, sorted by key."""
        return tuple(self._effective_setting(path, key) for key in sorted(SCHEMA))

    def check(
        self, path: str, assignments: Iterable[Assignment], unset: Iterable[str]
    ) -> tuple[Finding, ...]:
        """Return all problems of a change; empty if it may be applied."""
        findings: list[Finding] = []
        invalid_path = check_path(path)
        if invalid_path is not None:
            findings.append(invalid_path)
        duplicate_group = self._duplicate_group_finding(path)
        if duplicate_group is not None:
            findings.append(duplicate_group)
        seen_keys: set[str] = set()
        for assignment in assignments:
            findings.extend(_assignment_findings(path, assignment, seen_keys))
            seen_keys.add(assignment.key)
        for key in unset:
            if key not in SCHEMA:
                findings.append(Finding(f"{path}:{key}", f"unknown setting {key!r}"))
            elif key in seen_keys:
                findings.append(Finding(f"{path}:{key}", "both set and unset"))
        return tuple(findings)

    def apply(
        self, path: str, assignments: Iterable[Assignment], unset: Iterable[str]
    ) -> None:
        """Apply a change to one node; it must have passed `check`."""
        values = dict(self._values.get(path, {}))
        for key in unset:
            values.pop(key, None)
        for assignment in assignments:
            values[assignment.key] = assignment.value
        self._store(path, values)

    def _store(self, path: str, values: dict[str, SettingValue]) -> None:
        names = path_segments(path)
        if values:
            self._values[path] = values
        else:
            self._values.pop(path, None)
        if len(names) == GROUP_DEPTH:
            self._group_paths[names[-1]] = path
            if not values:
                del self._group_paths[names[-1]]

    def _duplicate_group_finding(self, path: str) -> Finding | None:
        """Return a finding if the group of a path is at another path already."""
        names = path_segments(path)
        if len(names) != GROUP_DEPTH:
            return None
        existing_path = self._group_paths.get(names[-1], path)
        if existing_path == path:
            return None
        return Finding(path, f"group {names[-1]!r} is already at {existing_path}")

    def _effective_setting(self, path: str, key: str) -> EffectiveSetting:
        spec = SCHEMA[key]
        for ancestor in path_ancestors(path):
            value = self.own_value(ancestor, key)
            if value is not None:
                return EffectiveSetting(key, value, spec.unit, ancestor)
        return EffectiveSetting(key, spec.default, spec.unit, "default")


def _assignment_findings(
    path: str, assignment: Assignment, seen_keys: set[str]
) -> Iterable[Finding]:
    place = f"{path}:{assignment.key}"
    finding = check_value(place, assignment.key, assignment.value)
    if finding is not None:
        yield finding
        return
    if assignment.key in seen_keys:
        yield Finding(place, "set twice in one change")
    if SCHEMA[assignment.key].is_root_only and path != "/":
        yield Finding(place, f"{assignment.key} can be set at the root only")
