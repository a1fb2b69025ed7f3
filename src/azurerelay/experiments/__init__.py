"""Experiments with load and faults on the embedded system, checked afterwards."""

from azurerelay.experiments._checker import Checker, Violation
from azurerelay.experiments._experiment import Experiment, ExperimentReport
from azurerelay.experiments._fault_plan import (
    Fault,
    FaultKind,
    FaultPlan,
    random_faults,
)
from azurerelay.experiments._history import History, OperationKind, OperationRecord
from azurerelay.experiments._load_mix import ALERT_DESK_MIX, CHILDCARE_MIX, LoadMix
from azurerelay.experiments._placement_experiment import (
    DisruptedPeriod,
    Disruption,
    PlacementExperiment,
    PlacementPolicy,
    PlacementReport,
    PlacementScenario,
)
from azurerelay.experiments._simulated_caller import SimulatedCaller

__all__ = [
    "ALERT_DESK_MIX",
    "CHILDCARE_MIX",
    "Checker",
    "DisruptedPeriod",
    "Disruption",
    "Experiment",
    "ExperimentReport",
    "Fault",
    "FaultKind",
    "FaultPlan",
    "History",
    "LoadMix",
    "OperationKind",
    "OperationRecord",
    "PlacementExperiment",
    "PlacementPolicy",
    "PlacementReport",
    "PlacementScenario",
    "SimulatedCaller",
    "Violation",
    "random_faults",
]
