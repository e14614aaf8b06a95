"""The soak's command takes what its help names, and nothing else."""

import pytest
from absl import flags

from tests.soak import run
from tests.soak.day_faults import DAY_FAULTS


@pytest.fixture(autouse=True)
def parsed_flags():
    if not flags.FLAGS.is_parsed():
        flags.FLAGS(['soak'])
    yield
    flags.FLAGS['day'].value = []


# Guards against a run of no part of a day, whose name was taken without an
# error (issue 68).
@pytest.mark.parametrize('names', ['leaving', 'storm,leaving', 'all,storm'])
def test_an_unknown_fault_of_a_day_is_an_error(names):
    flags.FLAGS['day'].parse(names)
    with pytest.raises(flags.IllegalFlagValueError, match='big_table'):
        flags.FLAGS.validate_all_flags()


@pytest.mark.parametrize('names', ['all', 'storm', ','.join(DAY_FAULTS)])
def test_known_faults_of_a_day_are_taken(names):
    flags.FLAGS['day'].parse(names)
    flags.FLAGS.validate_all_flags()
    assert run.DAY_PARTS.value == names.split(',')
