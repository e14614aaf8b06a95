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
from peridotwell.fleet.replica.dropped_names import Drop
from peridotwell.forwarding.answering.refusal_log import refusal_log_fields
from peridotwell.logs import configure_logging, log_failure

# Operators see only so many characters of a line.
SHOWN_CHARACTERS = 200
KNOWLEDGE = {
    'seen': '130@1046',
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


def refusal_line(stream, error, dropped=None):
    log_failure(
        'request.refused',
        request='b742a1f0c3d4e5f6',
        code=error.code,
        **refusal_log_fields(
            error,
            KNOWLEDGE,
            dropped=dropped,
            after_seconds=0.00012,
            has_begun=False,
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
def test_beginning_tells_seen_and_taken_configuration_and_age(stream, kind):
    line = refusal_line(stream, kind('No route has this host and path.'))
    shown = line[:SHOWN_CHARACTERS]
    assert '"event":"request.refused"' in shown
    assert '"instance":"edge-glenorchy-c-2"' in shown
    assert '"request":"b742a1f0c3d4e5f6"' in shown
    assert f'"code":"{kind.code}","seen":"130@1046","table":128,' in shown
    assert '"knowledge_age":0.412' in shown
    assert '"knowledge_age":0.412,"source":"store changes",' in line


# Guards against refusals of which no line tells whether a version known here
# ever had the path or the key.
@pytest.mark.parametrize('kind', [UnknownPath, UnknownCredential])
def test_beginning_tells_which_version_dropped_the_path_or_the_key(
    stream, kind
):
    drop = Drop(last_version=120, dropped_by=126, dropped_at=4.5)
    line = refusal_line(stream, kind('Why.'), drop.log_fields(6))
    shown = line[:SHOWN_CHARACTERS]
    assert '"seen":"130@1046","table":128,"dropped_by":126,' in shown
    fields = json.loads(line)
    assert (fields['last_in'], fields['dropped_age']) == (120, 1.5)


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
