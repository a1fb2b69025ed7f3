"""A setting's value in force at a path."""

from dataclasses import dataclass

from azurerelay.settings._assignment import SettingValue


@dataclass(frozen=True, slots=True)
class EffectiveSetting:
    """A value with the path that sets it; `origin` is "default" when none does."""

    key: str
    value: SettingValue
    unit: str
    origin: str
