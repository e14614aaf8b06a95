"""An HTTP/1.1 connection to a target, which may send what it should not.

The connection takes a bounded number of interim responses, and tells whether
bytes follow a response.
"""

from typing import Any

import h11
import httpcore

__all__ = ('TargetConnection',)

# Before each response. Reading them takes time, and nobody waits for them.
MAX_INTERIM_RESPONSES = 16


class _ResponseParser(h11.Connection):
    """Parses responses; refuses endless interim ones (RFC 9110, 15.2)."""

    _interim_responses = 0

    def next_event(self) -> Any:
        """Return the next event of the response, as h11 does.

        Raises h11.RemoteProtocolError if too many interim responses come.
        """
        event = super().next_event()
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError('Too many interim responses')
        elif isinstance(event, h11.Response):
            self._interim_responses = 0
        return event


class TargetConnection(httpcore.AsyncHTTP11Connection):
    """A connection whose responses are parsed by _ResponseParser."""

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: httpcore.AsyncNetworkStream,
        keepalive_expiry: float | None = None,
    ) -> None:
        super().__init__(origin, stream, keepalive_expiry)
        self._h11_state = _ResponseParser(
            h11.CLIENT,
            max_incomplete_event_size=self.MAX_INCOMPLETE_EVENT_SIZE,
        )

    def is_reusable(self) -> bool:
        """Whether another request may be sent.

        No bytes may have arrived after the response: they would be the
        beginning of the next one.
        """
        following, _ = self._h11_state.trailing_data
        return self.is_idle() and not following
