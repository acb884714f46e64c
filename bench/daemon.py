"""Runs the daemon, under cProfile if BENCH_PROFILE names a folder."""

import cProfile
import os
import sys

from apricothinge import daemon


def main():
    """Runs the daemon and writes its profile, if one is requested, at exit."""
    profile_folder = os.environ.get("BENCH_PROFILE")
    if not profile_folder:
        daemon.main()
        return
    profile = cProfile.Profile()
    try:
        profile.runcall(daemon.main)
    finally:
        settings_name = os.path.basename(sys.argv[1])
        profile.dump_stats(os.path.join(profile_folder,
                                        f"{settings_name}.prof"))


if __name__ == "__main__":
    main()
