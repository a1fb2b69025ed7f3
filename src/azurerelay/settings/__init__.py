"""The settings tree: schema, inheritance and validation of changes."""

from azurerelay.settings._assignment import Assignment, SettingValue
from azurerelay.settings._effective_setting import EffectiveSetting
from azurerelay.settings._finding import Finding
from azurerelay.settings._group_policy import GroupPolicy
from azurerelay.settings._paths import GROUP_DEPTH, check_path, path_ancestors
from azurerelay.settings._schema import SCHEMA, check_value
from azurerelay.settings._setting_spec import SettingSpec
from azurerelay.settings._settings_tree import SettingsTree, TreeNode

__all__ = [
    "GROUP_DEPTH",
    "SCHEMA",
    "Assignment",
    "EffectiveSetting",
    "Finding",
    "GroupPolicy",
    "SettingSpec",
    "SettingValue",
    "SettingsTree",
    "TreeNode",
    "check_path",
    "check_value",
    "path_ancestors",
]
