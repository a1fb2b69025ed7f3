"""One value given to one setting."""

from dataclasses import dataclass

SettingValue = bool | int | str


@dataclass(frozen=True, slots=True)
class Assignment:
    """A setting's key and the value that a tree node gives it."""

    key: str
    value: SettingValue
