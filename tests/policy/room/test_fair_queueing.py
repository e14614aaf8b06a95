"""Customers of one service take turns."""

from collections import Counter

from peridotwell.policy.room.fair_queueing import MAX_CUSTOMERS, FairOrder


class Backlog:
    """Requests that wait, and are sent in the order of their start tags."""

    def __init__(self):
        self.order = FairOrder()
        self._waiting = []
        self._arrivals = 0

    def add(self, customer, count=1):
        for _ in range(count):
            tag = self.order.start_tag(customer)
            self.order.record_wait_start(customer)
            self._arrivals += 1
            self._waiting.append((tag, self._arrivals, customer))

    def send(self, count):
        """Send so many requests and return how many each customer had."""
        sent = Counter()
        for _ in range(count):
            first = min(self._waiting)
            self._waiting.remove(first)
            customer = first[-1]
            self.order.record_wait_end(customer)
            self.order.record_sent(customer)
            sent[customer] += 1
        return sent


# Guards against a customer that sends much taking the turns of the others.
def test_customer_that_sends_twenty_times_as_much_takes_no_others_share():
    backlog = Backlog()
    backlog.add('busy', 200)
    backlog.add('calm', 10)
    backlog.add('other', 10)
    assert backlog.send(30) == {'busy': 10, 'calm': 10, 'other': 10}


# Guards against idle capacity: nobody waits for a customer that sends nothing.
def test_customer_alone_gets_everything():
    backlog = Backlog()
    backlog.add('busy', 50)
    assert backlog.send(50) == {'busy': 50}


# Guards against customers that pay later for what nobody else wanted.
def test_earlier_use_of_idle_capacity_does_not_count_against_a_customer():
    backlog = Backlog()
    backlog.add('busy', 100)
    backlog.send(100)
    backlog.add('busy', 10)
    backlog.add('new', 10)
    sent = backlog.send(10)
    assert abs(sent['busy'] - sent['new']) <= 1


# Guards against customers that save up turns while they send nothing.
def test_idle_customer_saves_up_nothing():
    backlog = Backlog()
    backlog.add('idle')
    backlog.send(1)
    backlog.add('busy', 100)
    backlog.send(50)
    backlog.add('idle', 50)
    sent = backlog.send(20)
    assert abs(sent['busy'] - sent['idle']) <= 1


# Guards against refused requests that count as if they had been served.
def test_requests_that_leave_do_not_count():
    order = FairOrder()
    before = order.start_tag('c')
    for _ in range(9):
        order.record_wait_start('c')
    assert order.start_tag('c') == before + 9
    for _ in range(9):
        order.record_wait_end('c')
    assert order.start_tag('c') == before


# Guards against memory that grows with the number of customers.
def test_customers_are_bounded():
    order = FairOrder()
    for number in range(3 * MAX_CUSTOMERS):
        order.record_sent(f'c{number}')
        order.record_sent('always')
    assert len(order._next_tags) <= MAX_CUSTOMERS + 1
