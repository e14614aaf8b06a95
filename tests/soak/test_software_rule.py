from tests.soak.records import Answered, Replied, TakenUp
from tests.soak.software_rule import judge_software

OLD, NEW = 'seal.t1.1', 'seal.t2.1'
RUNS = (
    Replied(1, 'q1-ask', OLD, 200, b'', True),
    Replied(1, 'q2-ask', NEW, 200, b'', True, version='v1'),
)


def answer(*receipts: str) -> Answered:
    body = ''.join(
        f'id: {number}\ndata: {receipt}\n\n'
        for number, receipt in enumerate(receipts, 2)
    )
    return Answered(3, 'q2-ask', 200, receipts[-1], body.encode())


def test_events_of_one_version_are_allowed():
    taken_up = TakenUp(2, 'q2-ask', NEW)
    assert not list(judge_software((*RUNS, taken_up, answer(NEW, NEW))))


# Guards against a rule that overlooks a stream that is resumed by its router.
def test_events_of_two_versions_in_one_answer_are_found():
    [violation] = judge_software((*RUNS, answer(OLD, NEW)))
    assert violation.startswith('ORDER')


# Guards against a rule that overlooks a stream that its caller takes up.
def test_streams_taken_up_at_another_version_are_found():
    taken_up = TakenUp(2, 'q2-ask', NEW)
    [violation] = judge_software((*RUNS, taken_up, answer(OLD)))
    assert violation.startswith('ORDER')
