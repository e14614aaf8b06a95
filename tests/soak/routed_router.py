"""Starts a router whose connections to other routers pass through proxies.

Run instead of platform/start.py. A file, which the environment names, has the
address of the proxy for each address of another router, as JSON.
"""

import os
import runpy
import sys
from pathlib import Path

import msgspec

from peridotwell.fleet.transport.peer_transport import ZmqPeerTransport

__all__ = ('PEER_WAYS_VARIABLE',)

PEER_WAYS_VARIABLE = 'PERIDOTWELL_TEST_PEER_WAYS'
PLATFORM = Path(__file__).parent.parent.parent / 'platform'


def _use_ways(ways: dict[str, str]) -> None:
    """Let connections to these addresses be opened to their proxies."""
    transmit = ZmqPeerTransport.transmit
    disconnect = ZmqPeerTransport.disconnect

    def transmit_by_way(self, address: str, content: bytes) -> bool:
        return transmit(self, ways.get(address, address), content)

    def disconnect_way(self, address: str) -> None:
        disconnect(self, ways.get(address, address))

    ZmqPeerTransport.transmit = transmit_by_way  # type: ignore[method-assign]
    ZmqPeerTransport.disconnect = disconnect_way  # type: ignore[method-assign]


if __name__ == '__main__':
    sys.path.insert(0, str(PLATFORM))
    content = Path(os.environ[PEER_WAYS_VARIABLE]).read_bytes()
    _use_ways(msgspec.json.decode(content, type=dict[str, str]))
    runpy.run_path(str(PLATFORM / 'start.py'), run_name='__main__')
