import json
import re
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from azurerelay.cli import main
from azurerelay.cli._app import app
from azurerelay.daemons import load_settings
from azurerelay.requests import ErrorCode
from azurerelay.settings import SCHEMA

ROOT = Path(__file__).resolve().parent.parent


class DocumentsTest(unittest.TestCase):
    def test_every_setting_and_error_code_is_documented(self) -> None:
        settings = (ROOT / "docs/operate/settings.md").read_text()
        errors = (ROOT / "docs/operate/errors.md").read_text()
        for key in SCHEMA:
            self.assertIn(f"| `{key}`", settings)
        for code in ErrorCode:
            if code is not ErrorCode.NONE:
                self.assertIn(f"| `{code.value}` |", errors)

    def test_every_relative_link_has_a_target(self) -> None:
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())


class CommandLineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = CliRunner()

    def test_quickstart_writes_valid_settings_and_rejects_an_existing_folder(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder) / "fleet"
            first = self.runner.invoke(app, ["quickstart", str(target)])
            self.assertEqual(first.exit_code, 0)
            files = sorted(target.glob("*.json"))
            self.assertEqual(len(files), 9)
            for file in files:
                self.assertTrue(load_settings(file).is_ok(), file)
            second = self.runner.invoke(app, ["quickstart", str(target)])
            self.assertEqual(second.exit_code, 1)

    def test_check_prints_all_findings_and_exits_2(self) -> None:
        outcome = self.runner.invoke(
            app, ["check", str(ROOT / "tests/cases/entry-bad.json")]
        )
        self.assertEqual(outcome.exit_code, 2)
        self.assertEqual(outcome.output.count("entry-bad.json:$"), 5)

    def test_demo_prints_json_without_violations(self) -> None:
        outcome = self.runner.invoke(
            app, ["demo", "--seconds", "5", "--seed", "3", "--json"]
        )
        self.assertEqual(outcome.exit_code, 0)
        reports = json.loads(outcome.output.splitlines()[-1])
        self.assertEqual([report["violations"] for report in reports], [[], []])

    def test_state_inspect_reports_a_damaged_journal(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "journal.bin").write_bytes(b"\x00\x00\x00\x10" + b"x" * 60)
            outcome = self.runner.invoke(app, ["state", "inspect", folder])
            self.assertEqual(outcome.exit_code, 3)
            self.assertIn("journal.bin: offset 0", outcome.output)
        self.assertTrue(callable(main))
