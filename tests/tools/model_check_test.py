"""tools/model-check must fail when a specification is violated or a defect is not found."""
import pathlib
import shutil
import subprocess
import tempfile
import unittest

TOOLS = pathlib.Path(__file__).resolve().parents[2] / "tools"

SPECIFICATION = """
byte value = 0;
init {
  value = 1;
#ifdef DEFECT_A
  value = 2;
#endif
#ifdef DEFECT_B
  value = 3;
#endif
#ifdef DEFECT_C
  value = 4;
#endif
#ifdef DEFECT_D
  %s
#endif
  assert(value == %d)
}
"""
MUTATIONS = "DEFECT_A a\nDEFECT_B b\nDEFECT_C c\nDEFECT_D d\n"


class ModelCheckTest(unittest.TestCase):
    def check(self, last_defect="value = 5;", expected=1, mutations=MUTATIONS):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "tools").mkdir()
            (root / "model/small").mkdir(parents=True)
            shutil.copy(TOOLS / "model-check", root / "tools")
            (root / "model/small/small.pml").write_text(SPECIFICATION % (last_defect, expected))
            (root / "model/small/mutations").write_text(mutations)
            return subprocess.run([root / "tools/model-check", "--mutations"], check=False,
                                  capture_output=True).returncode

    def test_passes_when_all_defects_are_found(self):
        self.assertEqual(self.check(), 0)

    def test_fails_when_the_specification_is_violated(self):
        self.assertNotEqual(self.check(expected=9), 0)

    def test_fails_when_a_defect_is_not_found(self):
        self.assertNotEqual(self.check(last_defect="value = 1;"), 0)

    def test_fails_when_too_few_defects_are_listed(self):
        self.assertNotEqual(self.check(mutations="DEFECT_A a\n"), 0)

    def test_fails_when_a_listed_defect_is_not_in_the_specification(self):
        self.assertNotEqual(self.check(mutations=MUTATIONS + "DEFECT_E e\n"), 0)


if __name__ == "__main__":
    unittest.main()
