"""Writes lines to a pipe without ever waiting for its reader.

Linux takes a flag for a single write that must not wait. Other ways are worse:
O_NONBLOCK also changes the descriptor for all processes that share it, and a
pipe that `poll` reports as writable may be full before the write. A write of up
to PIPE_BUF bytes is whole or has no effect, so lines are never torn.
"""

import io
import os
import select
import stat
from typing import TextIO

__all__ = ('PipeOutput',)

CURRENT_POSITION = -1


class PipeOutput:
    """The pipe to which a stream writes, if it writes to one."""

    def __init__(self, stream: TextIO) -> None:
        self._descriptor = _pipe_descriptor(stream)

    def try_write(self, line: str) -> bool:
        """Write a line at once and whole, or return False and write nothing.

        What the stream itself has buffered must have been written before.
        """
        content = line.encode()
        if self._descriptor is None or len(content) > select.PIPE_BUF:
            return False
        try:
            os.pwritev(
                self._descriptor, (content,), CURRENT_POSITION, os.RWF_NOWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            # The kernel cannot do this with pipes, or nobody reads the pipe.
            self._descriptor = None
            return False
        return True


def _pipe_descriptor(stream: TextIO) -> int | None:
    """Return the descriptor of a stream, None if it is not a usable pipe."""
    if not hasattr(os, 'RWF_NOWAIT'):
        return None
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, io.UnsupportedOperation):
        return None
    return descriptor if stat.S_ISFIFO(mode) else None
