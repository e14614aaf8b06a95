"""Runs a Python program and counts the calls of functions of its main thread.

`python -m measure.counted_process COUNT_FILE PROGRAM [ARGUMENT...]`. At each
SIGUSR1, the number of calls so far, builtin functions included, is written to
the file.
"""

import cProfile
import runpy
import signal
import sys
from pathlib import Path

__all__ = ('main',)


def main() -> None:
    """Run the program until it ends."""
    count_file = Path(sys.argv[1])
    program = sys.argv[2]
    profile = cProfile.Profile()

    def write_count(signal_number: int, frame: object) -> None:
        profile.disable()
        count = sum(row.callcount for row in profile.getstats())
        partial_file = count_file.with_suffix('.new')
        partial_file.write_text(str(count))
        partial_file.rename(count_file)
        profile.enable()

    signal.signal(signal.SIGUSR1, write_count)
    sys.argv = sys.argv[2:]
    sys.path[0] = str(Path(program).resolve().parent)
    profile.enable()
    runpy.run_path(program, run_name='__main__')


if __name__ == '__main__':
    main()
