import socket

import pytest
from hypothesis import settings

from standins.site import Site

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def site():
    with Site() as running:
        yield running


@pytest.fixture
def free_port():
    def find() -> int:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            return probe.getsockname()[1]

    return find
