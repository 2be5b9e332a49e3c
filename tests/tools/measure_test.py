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


class FitTest(unittest.TestCase):
    def test_a_line_is_found_without_error(self):
        start, slope, error = measure.fit([(50, 7.0), (200, 10.0), (1100, 28.0)])
        self.assertAlmostEqual(start, 6.0)
        self.assertAlmostEqual(slope, 0.02)
        self.assertAlmostEqual(error, 0.0)

    def test_the_largest_error_is_told(self):
        _, _, error = measure.fit([(0, 10.0), (1, 10.0), (2, 13.0)])
        self.assertAlmostEqual(error, 10.0)


class PagesTest(unittest.TestCase):
    def test_a_missed_bound_is_marked(self):
        page = measure.measurements_page(
            {"x": report({"a_ms": {"value": 2.0, "at_most": 1.0, "met": False},
                          "b_ratio": {"value": 1.0, "at_least": 0.9, "met": True}})}, "c0", True)
        self.assertIn("| x | a_ms | 2 | <= 1 | **missed** |", page)
        self.assertIn("| x | b_ratio | 1 | >= 0.9 | yes |", page)
        self.assertIn("trials", page)
        self.assertIn("`a command`", page)

    def test_slopes_need_three_sizes(self):
        key = measure.SLOPES[0]
        sizes = {f"control-scale-{nodes}": report({key: {"value": 1.0 + nodes / 100}})
                 for nodes, _ in measure.SCALE_SIZES}
        self.assertIn(f"| {key} |", measure.capacity_page(sizes, "c0", False))
        sizes.pop("control-scale-50")
        self.assertEqual(measure.capacity_page(sizes, "c0", False), "")


if __name__ == "__main__":
    unittest.main()
