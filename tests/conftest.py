import pytest
import trio.testing
from hypothesis import settings

from standins.cluster import LocalCluster
from tests.ports import find_free_port

# Seconds of the slow clock in a second of real time.
SLOW_CLOCK_RATE = 0.25

# Folders of tests that start many processes.
PROCESS_FOLDERS = frozenset(('processes', 'soak'))

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def cluster():
    with LocalCluster() as running:
        yield running


@pytest.fixture(autouse=True)
def no_failed_tasks(caplog):
    """Fail a test in which a background task of a router ended by an error."""
    yield
    failed = [
        record.msg
        for record in caplog.get_records('call')
        if isinstance(record.msg, dict)
        and record.msg.get('event') == 'task.failed'
    ]
    assert not failed


@pytest.fixture
def slow_clock():
    """Let trio's time pass more slowly than real time.

    For tests of several routers in this process whose bounds are short: what
    they measure is then less the time that this machine needs to run them.
    """
    return trio.testing.MockClock(rate=SLOW_CLOCK_RATE)


@pytest.fixture
def free_port():
    return find_free_port


def pytest_collection_modifyitems(items):
    """Keep tests that start many processes from running side by side."""
    for item in items:
        if item.path.parent.name in PROCESS_FOLDERS:
            item.add_marker(pytest.mark.xdist_group(item.path.parent.name))
