"""Status checks that ask a target for a sign of life."""

import errno
import os
import socket

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving.sign_of_life import gives_sign_of_life

TARGET = Target('t', '127.0.0.1:1', TargetKind.service, Pool('a', 's'))
SECONDS = 0.2


def refuse_sockets(*arguments):
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


# Guards against an error of a check that ends the task of all checks: the
# router has no file descriptor left for the connection.
async def test_a_router_without_descriptors_takes_nothing_back(monkeypatch):
    monkeypatch.setattr(socket, 'socket', refuse_sockets)
    assert await gives_sign_of_life(TARGET, '/healthz', SECONDS)
