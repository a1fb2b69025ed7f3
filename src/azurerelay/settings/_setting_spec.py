"""The description of one setting."""

from dataclasses import dataclass

from azurerelay.settings._assignment import SettingValue


@dataclass(frozen=True, slots=True)
class SettingSpec:
    """A setting's key, default, unit, range or choices, and effect."""

    key: str
    default: SettingValue
    unit: str
    effect: str
    minimum: int = 0
    maximum: int = 0
    choices: tuple[str, ...] = ()
    is_root_only: bool = False
