"""Lines of a router's log say for how long it had a request."""

from tests.soak.records import Handled
from tests.soak.router_logs import read_handled


def line(event, field):
    return (
        '{"time": "1970-01-01 00:01:40,500", "instance": "r0", '
        f'"event": "{event}", "request": "q1-book", "{field}": 1.25}}'
    )


def test_time_of_a_request_that_has_ended():
    expected = Handled(90.5, 'q1-book', 'r0', 1.25)
    answered = line('request.answered', 'whole_seconds')
    assert read_handled(answered, 'r0', -10) == expected
    refused = line('request.refused', 'after_seconds')
    assert read_handled(refused, 'r0', -10) == expected


def test_other_lines_say_nothing():
    other = line('request.handed_over', 'whole_seconds')
    assert read_handled(other, 'r0', 0) is None
    cut = line('request.answered', 'whole_seconds')[:-10]
    assert read_handled(cut, 'r0', 0) is None
    assert read_handled('Traceback', 'r0', 0) is None
