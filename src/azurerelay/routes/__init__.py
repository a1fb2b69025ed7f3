"""Routes and groups as operators configure them, replaced as a whole by version."""

from azurerelay.routes._configuration import Configuration
from azurerelay.routes._configuration_change import (
    ConfigurationChange,
    apply_change,
    change_between,
)
from azurerelay.routes._consistency import Consistency
from azurerelay.routes._customer import Customer
from azurerelay.routes._database_group import DatabaseGroup
from azurerelay.routes._route import Route

__all__ = [
    "Configuration",
    "ConfigurationChange",
    "Consistency",
    "Customer",
    "DatabaseGroup",
    "Route",
    "apply_change",
    "change_between",
]
