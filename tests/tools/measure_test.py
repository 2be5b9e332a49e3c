"""Tests of the tables that tools/measure makes of reports."""
import importlib.machinery
import importlib.util
import pathlib
import unittest

import known_red

PATH = pathlib.Path(known_red.__file__).resolve().parent / "measure"
LOADER = importlib.machinery.SourceFileLoader("measure", str(PATH))
measure = importlib.util.module_from_spec(importlib.util.spec_from_loader("measure", LOADER))
LOADER.exec_module(measure)


def report(figures):
    return {"figures": figures, "machine": "a machine", "command": "a command",
            "load_average_at_start": 0.1, "duration_s": 2.0, "remarks": ["A remark."]}


class PagesTest(unittest.TestCase):
    def test_a_missed_bound_is_marked(self):
        page = measure.measurements_page(
            {"x": report({"a_ms": {"value": 2.0, "at_most": 1.0, "met": False},
                          "b_ratio": {"value": 1.0, "at_least": 0.9, "met": True}})}, "c0", True)
        self.assertIn("| x | a_ms | 2 | <= 1 | **missed** |", page)
        self.assertIn("| x | b_ratio | 1 | >= 0.9 | yes |", page)
        self.assertIn("trials", page)
        self.assertIn("`a command`", page)


if __name__ == "__main__":
    unittest.main()
