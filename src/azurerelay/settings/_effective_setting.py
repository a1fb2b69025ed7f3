"""The value of a setting in force at a path."""

from dataclasses import dataclass

from azurerelay.settings._assignment import SettingValue


@dataclass(frozen=True, slots=True)
class EffectiveSetting:
    """A setting's value in force, with its unit and origin.

    `origin` is the path of the node that sets the value, or "default".
    """

    key: str
    value: SettingValue
    unit: str
    origin: str
