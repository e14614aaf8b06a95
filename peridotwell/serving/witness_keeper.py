"""Keeps the witnesses of all targets whose responses need them."""

import trio

from peridotwell.serving.process_witness import ProcessWitness

__all__ = ('WitnessKeeper',)

# How often connections are looked at.
LOOK_SECONDS = 0.25


class WitnessKeeper:
    """Opens, replaces and closes the connections of witnesses."""

    def __init__(self) -> None:
        self._witnesses: set[ProcessWitness] = set()
        # Those that are looked at now: an unreachable target takes long.
        self._looked_at: set[ProcessWitness] = set()
        # Set, and replaced, when another witness is needed.
        self._is_needed = trio.Event()

    def need(self, witness: ProcessWitness, now: float) -> None:
        """Let a witness keep connections for some time from now on."""
        witness.need(now)
        if witness not in self._witnesses:
            self._witnesses.add(witness)
            self._is_needed.set()

    async def run(self) -> None:
        """Look after the witnesses that are needed, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for witness in self._witnesses - self._looked_at:
                    self._looked_at.add(witness)
                    nursery.start_soon(self._look, witness)
                await self._wait()

    async def _wait(self) -> None:
        """Wait until the witnesses are due, or one more is needed."""
        if not self._witnesses:
            await self._is_needed.wait()
        with trio.move_on_after(LOOK_SECONDS):
            await self._is_needed.wait()
        self._is_needed = trio.Event()

    async def _look(self, witness: ProcessWitness) -> None:
        try:
            await witness.look(trio.current_time())
        finally:
            self._looked_at.discard(witness)
        if not witness.is_needed(trio.current_time()):
            self._witnesses.discard(witness)
