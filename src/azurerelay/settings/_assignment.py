"""The assignment of a value to a setting."""

from dataclasses import dataclass

SettingValue = bool | int | str


@dataclass(frozen=True, slots=True)
class Assignment:
    """A setting's key and the value that a node of the tree assigns to it."""

    key: str
    value: SettingValue
