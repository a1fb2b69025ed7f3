"""The specification of one setting."""

from dataclasses import dataclass

from azurerelay.settings._assignment import SettingValue


@dataclass(frozen=True, slots=True)
class SettingSpec:
    """What values a setting takes and what it does.

    Numbers are limited by `minimum` and `maximum`, both inclusive. Strings are
    limited to `choices`, if there are any. `is_root_only` settings can be set at the
    root of the tree only.
    """

    key: str
    default: SettingValue
    unit: str
    effect: str
    minimum: int = 0
    maximum: int = 0
    choices: tuple[str, ...] = ()
    is_root_only: bool = False
