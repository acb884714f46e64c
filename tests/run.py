"""Runs the given or all tests and prints the totals on the last line.

Failures of tests listed in KNOWN-RED.txt are printed, but do not fail the run.
"""

import pathlib
import re
import sys
import unittest

import hypothesis

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_FAILURES_FILE = _ROOT / "KNOWN-RED.txt"

# Makes results reproducible: fixed examples, and no deadline in wall time that
# a slow machine could miss.
hypothesis.settings.register_profile("fixed",
                                     derandomize=True,
                                     deadline=None,
                                     database=None,
                                     print_blob=False)


def _known_failures() -> set[str]:
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    return set(
        re.findall(r"^test: (\S+)", _KNOWN_FAILURES_FILE.read_text(), re.M))


def main() -> int:
    """Runs the tests and returns the exit code."""
    hypothesis.settings.load_profile("fixed")
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    suite = (loader.loadTestsFromNames(names) if names else loader.discover(
        str(_ROOT / "tests"), top_level_dir=str(_ROOT)))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed_tests = {
        # The ID of a failed subtest has its parameters after a space.
        test.id().split(" ")[0] for test, _ in result.failures + result.errors
    }
    failed_tests |= {test.id() for test in result.unexpectedSuccesses}
    known = failed_tests & _known_failures()
    for name in sorted(known):
        print(f"known red: {name}")
    failed = len(failed_tests - known)
    passed = result.testsRun - len(failed_tests) - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
