"""Tests of the clients of targets that leave."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.replica.store_belief import StoreBelief
from peridotwell.forwarding.sending.target_clients import TargetClients


class Directory:
    """A directory with these targets."""

    def __init__(self, *targets):
        self.targets = targets
        self.belief = StoreBelief()
        self._listeners = []

    def on_change(self, listener):
        self._listeners.append(listener)

    def all_targets(self):
        return self.targets

    def change(self, *targets):
        self.targets = targets
        for listener in self._listeners:
            listener()


def target(name):
    return Target(name, '127.0.0.1:9', TargetKind.service, Pool('a', 'svc'))


@pytest.fixture
def directory():
    return Directory(target('t1'), target('t2'))


@pytest.fixture
def clients(directory):
    return TargetClients(directory, None, None)


async def test_clients_of_targets_that_left_are_closed(directory, clients):
    first, second = (clients.client(each) for each in directory.targets)
    await clients.close_gone()
    directory.change(target('t2'))
    await clients.close_gone()
    assert clients.client(target('t2')) is second
    assert clients.client(target('t1')) is not first


# The target may leave between its choice and the request.
async def test_a_client_made_after_its_target_left_is_closed(
    directory, clients
):
    directory.change(target('t2'))
    await clients.close_gone()
    late = clients.client(target('t1'))
    await clients.close_gone()
    assert clients.client(target('t1')) is not late


async def test_a_busy_client_is_closed_once_it_is_idle(
    directory, clients, monkeypatch
):
    first = clients.client(target('t1'))
    monkeypatch.setattr(first, 'is_busy', lambda: True)
    directory.change(target('t2'))
    await clients.close_gone()
    await clients.close_gone()
    assert clients.client(target('t1')) is first
    monkeypatch.setattr(first, 'is_busy', lambda: False)
    await clients.close_gone()
    assert clients.client(target('t1')) is not first
