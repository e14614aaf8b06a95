import pytest
from hypothesis import settings

from standins.site import Site

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def site():
    with Site() as running:
        yield running
