"""Sums the own time of profiled functions by package."""

import collections
import pstats
import sys


def sum_own_time_by_package(profile_path):
    """Returns own time in seconds by package, without time blocked in epoll."""
    own_s_by_package = collections.Counter()
    for (file, _, function), row in pstats.Stats(profile_path).stats.items():
        if "poll" in function and "epoll" in function:
            continue
        package_name = file
        for marker in ("site-packages/", "src/", "python3.11/"):
            _, separator, rest = file.rpartition(marker)
            if separator:
                package_name = rest.split("/")[0]
        own_s_by_package["built-in" if file == "~" else package_name] += row[2]
    return own_s_by_package


if __name__ == "__main__":
    for path in sys.argv[1:]:
        totals = sum_own_time_by_package(path)
        total_s = sum(totals.values())
        print(path)
        for package, seconds in totals.most_common(8):
            print(f"  {package:20} {seconds:7.3f} s {seconds / total_s:6.1%}")
