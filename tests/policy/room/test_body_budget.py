"""Which bodies of requests have room."""

from peridotwell.policy.room.body_budget import ROOM_SECONDS, BodyBudget


def test_a_body_has_room_for_its_declared_length():
    budget = BodyBudget(100)
    share = budget.open(80, 0)
    assert budget.open(21, 0) is None
    assert budget.open(20, 0) is not None
    assert share.add(80, 0.1)
    assert not share.add(1, 0.2)


def test_a_body_of_unknown_length_has_room_as_it_arrives():
    budget = BodyBudget(100)
    share = budget.open(0, 0)
    assert share.add(60, 0)
    assert share.add(40, 0)
    assert not share.add(1, 0)


def test_room_is_free_after_the_request():
    budget = BodyBudget(100)
    share = budget.open(80, 0)
    share.release()
    share.release()
    assert budget.taken_bytes == 0
    assert budget.open(100, 0) is not None


# Guards against callers who declare long bodies and send nothing.
def test_room_of_what_does_not_arrive_is_taken_back():
    budget = BodyBudget(100)
    idle = budget.open(100, 0)
    assert idle.add(10, 1)
    now = 1 + ROOM_SECONDS + 0.1
    assert budget.open(91, now) is None
    other = budget.open(90, now)
    assert other is not None
    assert not idle.add(1, now)
    other.release()
    assert idle.add(90, now)
