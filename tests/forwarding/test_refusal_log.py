"""The beginning of a line about a refusal tells what it went by."""

import io
import json
import logging
import time

import pytest

from peridotwell.errors import (
    NoRoom,
    NotConfigured,
    TargetFailed,
    UnknownCredential,
    UnknownPath,
)
from peridotwell.forwarding.refusal_log import refusal_log_fields
from peridotwell.logs import configure_logging, log_failure

# Operators see only so many characters of a line.
SHOWN_CHARACTERS = 200
KNOWLEDGE = {
    'table': 128,
    'knowledge_age': 0.412,
    'source': 'store changes',
    'revision': 1045,
    'follows_store': True,
}


@pytest.fixture
def stream():
    """The output of the log of a router with long names."""
    logger = logging.getLogger('peridotwell')
    handlers = logger.handlers[:]
    output = io.StringIO()
    configure_logging('edge-glenorchy-c-2', 'glenorchy-c', output)
    yield output
    logger.handlers[:] = handlers
    logger.propagate = True


def refusal_line(stream, error):
    log_failure(
        'request.refused',
        request='b742a1f0c3d4e5f6',
        code=error.code,
        **refusal_log_fields(
            error, KNOWLEDGE, after_seconds=0.00012, has_begun=False
        ),
    )
    stop_at = time.monotonic() + 5
    while not stream.getvalue().endswith('\n'):
        assert time.monotonic() < stop_at
        time.sleep(0.001)
    return stream.getvalue()


# Guards against a record of an incident whose lines end before they tell by
# which configuration a request was refused.
@pytest.mark.parametrize(
    'kind', [UnknownPath, UnknownCredential, NotConfigured]
)
def test_beginning_tells_configuration_and_age_of_knowledge(stream, kind):
    line = refusal_line(stream, kind('No route has this host and path.'))
    shown = line[:SHOWN_CHARACTERS]
    assert '"event":"request.refused"' in shown
    assert '"instance":"edge-glenorchy-c-2"' in shown
    assert '"request":"b742a1f0c3d4e5f6"' in shown
    assert f'"code":"{kind.code}"' in shown
    assert '"table":128,' in shown
    assert '"knowledge_age":0.412' in shown
    assert '"source":"store' in shown


@pytest.mark.parametrize('kind', [UnknownPath, NoRoom])
def test_reason_is_the_last_field_of_a_refusal(stream, kind):
    fields = json.loads(refusal_line(stream, kind('Why.')))
    assert list(fields)[-3:] == ['reason', 'level', 'data_centre']
    assert fields['reason'] == 'Why.'
    assert KNOWLEDGE.items() <= fields.items()


@pytest.mark.parametrize('kind', [TargetFailed, NoRoom])
def test_beginning_of_other_refusals_tells_the_outcome(stream, kind):
    shown = refusal_line(stream, kind('Why.'))[:SHOWN_CHARACTERS]
    assert f'"status":{kind.status}' in shown
    assert '"after_seconds":0.0001,' in shown
