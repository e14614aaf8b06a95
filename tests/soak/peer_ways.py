"""The ways between routers, each direction with a proxy, which can be cut."""

from collections.abc import Collection, Iterator

import trio

from tests.soak.proxy import FaultProxy, start_proxy

__all__ = ('PeerWays',)


class PeerWays:
    """Proxies between routers, by the names of sender and receiver."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._ways: dict[tuple[str, str], FaultProxy] = {}

    async def open(
        self, addresses: dict[str, str]
    ) -> dict[str, dict[str, str]]:
        """Open ways between routers, whose addresses are given by name.

        Returns, for each router, the addresses of its ways by those of the
        other routers.
        """
        ways: dict[str, dict[str, str]] = {name: {} for name in addresses}
        for sender in addresses:
            for receiver, address in addresses.items():
                if receiver != sender:
                    proxy = await start_proxy(self._nursery, address)
                    self._ways[sender, receiver] = proxy
                    ways[sender][address] = proxy.address
        return ways

    def cut_off(self, *names: str) -> None:
        """Cut routers off, together, from all others."""
        for proxy in self._crossing(names):
            proxy.hold('requests', 'responses')

    def delay(self, seconds: float, *names: str) -> None:
        """Let what passes between these routers and others arrive later."""
        for proxy in self._crossing(names):
            proxy.delay_seconds = seconds

    def clear_faults(self) -> None:
        """End all faults and forward what was held."""
        for proxy in self._ways.values():
            proxy.clear_faults()

    def _crossing(self, names: Collection[str]) -> Iterator[FaultProxy]:
        """Yield the ways between these routers and others."""
        for (sender, receiver), proxy in self._ways.items():
            if (sender in names) != (receiver in names):
                yield proxy
