"""Import rules between layers, and the validity of process settings files.

Decision logic must stay free of I/O, clocks and processes.
"""

import ast
import subprocess
import sys
import unittest
from pathlib import Path

from result import Err

from azurerelay.daemons import load_settings

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "azurerelay"
IO_PACKAGES = {"daemons", "cli", "runtime", "hosts"}
IO_FILES = {"storage/_folder_disk.py", "traces/_trace.py"}
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
PROCESS_MODULES = {"subprocess", "multiprocessing", "concurrent"}


def _imported_modules(file: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name.split(".")[0] for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module.split(".")[0])
    return found


class LayersTest(unittest.TestCase):
    def test_packages_without_io_import_no_io_modules(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            path = file.relative_to(PACKAGE)
            if (
                path.parts[0] in IO_PACKAGES
                or str(path) in IO_FILES
                or len(path.parts) == 1
            ):
                continue
            with self.subTest(str(path)):
                self.assertEqual(_imported_modules(file) & IO_MODULES, set())

    def test_no_module_starts_a_process(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            with self.subTest(file.name):
                self.assertEqual(_imported_modules(file) & PROCESS_MODULES, set())
                self.assertNotIn("os.fork", file.read_text())

    def test_modules_inside_packages_are_private(self) -> None:
        for file in PACKAGE.rglob("*.py"):
            path = file.relative_to(PACKAGE)
            if len(path.parts) > 1:
                with self.subTest(str(path)):
                    self.assertTrue(file.name.startswith("_"))


class EntryHostImportsTest(unittest.TestCase):
    def test_entry_host_imports_no_unneeded_packages(self) -> None:
        """Imports take most of the start-up time, during which callers wait."""
        script = (
            "import sys, azurerelay.hosts, azurerelay.hosts._entry_host;"
            "print(*sorted(name for name in sys.modules if name.count('.') == 1))"
        )
        process = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        loaded = set(process.stdout.split())
        unneeded_packages = {
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
        self.assertEqual(loaded & unneeded_packages, set())


class ProcessSettingsTest(unittest.TestCase):
    def test_example_settings_files_are_valid(self) -> None:
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
        for name, expected in cases.items():
            with self.subTest(name):
                file = ROOT / "tests" / "cases" / name
                findings = load_settings(file).err_value
                found = [finding.place.partition(".json:")[2] for finding in findings]
                self.assertEqual(sorted(found), sorted(expected))
