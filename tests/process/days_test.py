#!/usr/bin/env python3
"""Tests of scripts/days with reports that the tests write."""

import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
import xml.dom.minidom

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

import days  # noqa: E402

REPORT = {
    "G": 0.5,
    "classes": [{"name": "reads", "n": 10, "in_aim": 6, "late": 1, "refused": 2, "failed": 1, "not_owed": 0, "worth": 0.61}],
    "windows": [{"name": "0", "n": 4, "in_aim": 4, "late": 0, "refused": 0, "failed": 0},
                {"name": "2", "n": 6, "in_aim": 2, "late": 1, "refused": 2, "failed": 1}],
    "prices": [["probes", 0.0, 0.0], ["memory", 2.0, 0.01], ["processor seconds", 8.0, 0.03]],
}


class Days(unittest.TestCase):
    def run_script(self, *arguments):
        return subprocess.run([ROOT / "scripts" / "days", *arguments], capture_output=True, text=True, timeout=30,
                              check=False)

    def test_day_is_printed_by_kind_with_the_highest_price_first(self):
        out = io.StringIO()
        days.print_day("quiet", REPORT, out)
        lines = out.getvalue().splitlines()
        self.assertEqual(lines[0], "quiet: worth 0.500")
        self.assertEqual(lines[2].split(), ["reads", "10", "6", "1", "2", "1", "0", "0.610"])
        self.assertIn("processor seconds", lines[3])
        self.assertIn("memory", lines[4])
        self.assertEqual(len(lines), 5)

    def test_plot_is_written_with_a_bar_for_each_outcome(self):
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / "quiet.json"
            report.write_text(json.dumps(REPORT), encoding="utf-8")
            completed = self.run_script("--plot", folder, report)
            self.assertEqual(completed.returncode, 0, completed.stderr)
            picture = xml.dom.minidom.parse(str(pathlib.Path(folder) / "quiet.svg"))
            self.assertEqual(len(picture.getElementsByTagName("rect")), 2 * len(days.OUTCOMES))

    def test_invalid_report_is_named_in_the_error(self):
        with tempfile.TemporaryDirectory() as folder:
            for content in ("{", "{}", "\x00", "[1]", '{"G": 1, "classes": [{}], "windows": [], "prices": []}'):
                report = pathlib.Path(folder) / "invalid.json"
                report.write_text(content, encoding="utf-8")
                completed = self.run_script(report)
                self.assertEqual(completed.returncode, 1)
                self.assertIn("invalid.json", completed.stderr)
                self.assertNotIn("Traceback", completed.stderr)

    def test_failed_bench_is_reported_with_its_day(self):
        completed = self.run_script("--bench", "/bin/false", "--site", "site.toml", "quiet-1")
        self.assertEqual(completed.returncode, 1)
        self.assertIn("quiet-1", completed.stderr)


if __name__ == "__main__":
    unittest.main()
