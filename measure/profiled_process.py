"""Runs a Python program under cProfile, from one signal to the next.

`python -m measure.profiled_process STATS_FILE PROGRAM [ARGUMENT...]`. At each
SIGUSR1, the profile of the main thread since the one before is written to the
file.
"""

import cProfile
import runpy
import signal
import sys
from pathlib import Path

__all__ = ('main',)


def main() -> None:
    """Run the program until it ends."""
    stats_file = Path(sys.argv[1])
    program = sys.argv[2]
    profile = cProfile.Profile()

    def write_profile(signal_number: int, frame: object) -> None:
        profile.disable()
        partial_file = stats_file.with_suffix('.new')
        profile.dump_stats(partial_file)
        partial_file.rename(stats_file)
        profile.clear()
        profile.enable()

    signal.signal(signal.SIGUSR1, write_profile)
    sys.argv = sys.argv[2:]
    sys.path[0] = str(Path(program).resolve().parent)
    profile.enable()
    runpy.run_path(program, run_name='__main__')


if __name__ == '__main__':
    main()
