"""Lines are written to a pipe at once and whole, or not at all."""

import fcntl
import io
import json
import os
import select
import subprocess
import sys
import time

import pytest

from peridotwell.pipe_output import PipeOutput

LINE = 'x' * 299 + '\n'
CONFIGURE = """
import os, signal, sys, time
from peridotwell.logs import configure_logging, log_event, log_failure
configure_logging('r-1', 'north')
"""


@pytest.fixture
def pipe():
    """The reading end of a pipe, as a descriptor, and a writing stream."""
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stream:
        yield reading, stream
    os.close(reading)


def fill(output):
    written = 0
    while output.try_write(LINE):
        written += 1
    return written


def can_write_without_waiting():
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stream:
        can_write = PipeOutput(stream).try_write(LINE)
    os.close(reading)
    return can_write


needs_kernel = pytest.mark.skipif(
    not can_write_without_waiting(),
    reason='this kernel has no write to a pipe that does not wait',
)


@needs_kernel
def test_line_is_written_at_once(pipe):
    reading, stream = pipe
    assert PipeOutput(stream).try_write(LINE)
    assert os.read(reading, 1000) == LINE.encode()


@needs_kernel
def test_full_pipe_takes_no_part_of_a_line_and_does_not_delay(pipe):
    reading, stream = pipe
    output = PipeOutput(stream)
    started_at = time.monotonic()
    written = fill(output)
    assert time.monotonic() - started_at < 1
    assert os.read(reading, 10**6) == LINE.encode() * written
    assert output.try_write(LINE)


@needs_kernel
def test_other_writers_of_the_pipe_still_wait(pipe):
    _, stream = pipe
    flags = fcntl.fcntl(stream, fcntl.F_GETFL)
    fill(PipeOutput(stream))
    assert fcntl.fcntl(stream, fcntl.F_GETFL) == flags
    assert not flags & os.O_NONBLOCK


def test_longer_lines_are_left_to_the_stream(pipe):
    _, stream = pipe
    assert not PipeOutput(stream).try_write('x' * (select.PIPE_BUF + 1))


def test_other_streams_are_not_written_to(tmp_path):
    assert not PipeOutput(io.StringIO()).try_write(LINE)
    with open(tmp_path / 'log', 'w') as stream:
        assert not PipeOutput(stream).try_write(LINE)
    assert not (tmp_path / 'log').read_text()


def run(program, **options):
    return subprocess.run(
        [sys.executable, '-c', CONFIGURE + program],
        check=False,
        text=True,
        timeout=30,
        **options,
    )


# Guards against refusals without a line, answered just before a SIGKILL.
@needs_kernel
def test_line_of_a_failure_outlives_a_kill_right_after_it():
    program = """
log_failure('request.refused', number=1)
os.kill(os.getpid(), signal.SIGKILL)
"""
    for _ in range(20):
        ended = run(program, stdout=subprocess.PIPE)
        assert json.loads(ended.stdout)['number'] == 1


def test_lines_of_events_and_failures_keep_their_order_and_are_whole():
    program = """
for number in range(900):
    (log_failure if number % 3 else log_event)('test', number=number)
    if number % 10 == 0:
        time.sleep(0.002)
time.sleep(0.2)
"""
    ended = run(program, stdout=subprocess.PIPE)
    numbers = [json.loads(line)['number'] for line in ended.stdout.splitlines()]
    failures = [number for number in range(900) if number % 3]
    assert numbers == sorted(numbers)
    assert set(failures) <= set(numbers)


def test_reader_that_stalls_does_not_delay_failures(pipe):
    reading, stream = pipe
    program = """
started_at = time.monotonic()
for number in range(900):
    log_failure('test', number=number, text='x' * 300)
elapsed = time.monotonic() - started_at
sys.stderr.write(str(elapsed))
sys.stderr.flush()
os._exit(0)
"""
    ended = run(program, stdout=stream, stderr=subprocess.PIPE)
    assert float(ended.stderr) < 1
    content = os.read(reading, 10**6).decode()
    assert content.startswith('{"time":')
