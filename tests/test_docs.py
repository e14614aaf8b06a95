from pathlib import Path

import msgspec
import pytest

from peridotwell import errors
from peridotwell.domain.configuration import Defaults
from peridotwell.settings import Settings

OPERATORS = Path('docs/operators')


def test_every_setting_is_documented():
    text = (OPERATORS / 'settings.md').read_text()
    for section in msgspec.structs.fields(Settings):
        for field in msgspec.structs.fields(section.type):
            assert f'`{section.name}.{field.name}`' in text


def test_every_default_is_documented():
    text = (OPERATORS / 'configuration.md').read_text()
    documented = [
        line.split('`')[1] for line in text.splitlines() if line[:3] == '| `'
    ]
    assert documented == list(Defaults.__struct_fields__)


@pytest.mark.parametrize(
    'kind', errors.RequestError.__subclasses__(), ids=lambda kind: kind.code
)
def test_every_error_is_documented(kind):
    rows = [
        line
        for line in (OPERATORS / 'errors.md').read_text().splitlines()
        if f'`{kind.code}`' in line
    ]
    assert len(rows) == 1
    assert f'| {kind.status} |' in rows[0]
    state = kind.default_run_state.value
    assert f'| {state} |' in rows[0] or '| either |' in rows[0]
