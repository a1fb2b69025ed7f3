"""Decisions stay free of input, output, clocks and processes."""

import ast
import subprocess
import sys
import unittest
from pathlib import Path

from result import Err

from azurerelay.daemons import load_settings

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "azurerelay"
EDGES = {"daemons", "cli", "runtime", "hosts"}
FILES = {"storage/_folder_disk.py", "traces/_trace.py"}
IO_MODULES = {
    "asyncio",
    "socket",
    "os",
    "time",
    "datetime",
    "pathlib",
    "aiohttp",
    "zmq",
    "threading",
    "signal",
    "urllib",
    "httptools",
}
SPAWNING = {"subprocess", "multiprocessing", "concurrent"}


def _imports(file: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name.split(".")[0] for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module.split(".")[0])
    return found


class LayersTest(unittest.TestCase):
    def test_decision_packages_import_no_input_or_output(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            place = file.relative_to(PACKAGE)
            if place.parts[0] in EDGES or str(place) in FILES or len(place.parts) == 1:
                continue
            with self.subTest(str(place)):
                self.assertEqual(_imports(file) & IO_MODULES, set())

    def test_nothing_starts_a_process(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            with self.subTest(file.name):
                self.assertEqual(_imports(file) & SPAWNING, set())
                self.assertNotIn("os.fork", file.read_text())

    def test_modules_are_private_behind_a_thin_package(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            place = file.relative_to(PACKAGE)
            if len(place.parts) > 1:
                with self.subTest(str(place)):
                    self.assertTrue(file.name.startswith("_"))


class StartTest(unittest.TestCase):
    def test_an_entry_host_imports_nothing_of_control(self) -> None:
        """Imports are most of a start, and callers wait for it."""
        script = (
            "import sys, azurerelay.hosts, azurerelay.hosts._entry_host;"
            "print(*sorted(name for name in sys.modules if name.count('.') == 1))"
        )
        run = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        loaded = set(run.stdout.split())
        unneeded = {
            f"azurerelay.{name}"
            for name in (
                "cli",
                "cluster",
                "consensus",
                "control",
                "daemons",
                "membership",
            )
        }
        self.assertIn("azurerelay.relay", loaded)
        self.assertEqual(loaded & unneeded, set())


class ProcessSettingsTest(unittest.TestCase):
    def test_every_example_is_valid(self) -> None:
        files = sorted((ROOT / "examples").rglob("*.json"))
        self.assertEqual(len(files), 6)
        for file in files:
            with self.subTest(file.name):
                loaded = load_settings(file)
                self.assertFalse(isinstance(loaded, Err), loaded)

    def test_all_findings_of_a_file_are_reported_with_their_path(self) -> None:
        cases = {
            "entry-bad.json": [
                "$.name",
                "$.callers",
                "$.control_hosts[0].link",
                "$.drain_s",
                "$.extra",
            ],
            "control-bad.json": ["$.voters", "$.tokens[1].name", "$.voters[1].name"],
            "no-role.json": ["$"],
        }
        for name, places in cases.items():
            with self.subTest(name):
                file = ROOT / "tests" / "cases" / name
                findings = load_settings(file).err_value
                found = [finding.place.partition(".json:")[2] for finding in findings]
                self.assertEqual(sorted(found), sorted(places))
