import pytest
from hypothesis import settings

from standins.cluster import LocalCluster
from tests.ports import find_free_port

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def cluster():
    with LocalCluster() as running:
        yield running


@pytest.fixture
def free_port():
    return find_free_port
