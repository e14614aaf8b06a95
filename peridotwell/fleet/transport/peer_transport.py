"""Sends messages (frames) between routers over ZeroMQ sockets.

Each router binds one PULL socket and connects one PUSH socket to each peer,
so frames between two routers stay in order in each direction. A frame that
cannot be queued at once is dropped and counted; the protocols that use the
transport repeat important messages. pyzmq does not support trio, so the
socket's file descriptor is awaited. It is edge-triggered, therefore all frames
are read before each wait.
"""

import itertools
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import AsyncIterator, Iterable

import trio
import zmq

from peridotwell.fleet.transport.frames import (
    MAX_FRAME_BYTES,
    Frame,
    encode_frame,
)
from peridotwell.logs import log_failure

__all__ = ('PeerTransport', 'ZmqPeerTransport')

QUEUE_FRAMES = 1000
# From each peer; more wait with their sender.
RECEIVED_FRAMES = 100
# After this many frames, other tasks may run.
FRAMES_PER_CHECKPOINT = 32
SENDER_OPTIONS = (
    (zmq.SNDHWM, QUEUE_FRAMES),
    # ZMTP heartbeats detect unresponsive connections and reconnect them.
    # All times are in milliseconds.
    (zmq.HEARTBEAT_IVL, 2000),
    (zmq.HEARTBEAT_TIMEOUT, 4000),
    (zmq.RECONNECT_IVL, 100),
    (zmq.RECONNECT_IVL_MAX, 2000),
    (zmq.LINGER, 0),
    # No frames are queued for a disconnected peer: old heartbeats would be
    # misleading.
    (zmq.IMMEDIATE, 1),
)
# Length and flags that ZMTP adds to a short message.
ZMTP_OVERHEAD_BYTES = 2


class PeerTransport(ABC):
    """Sends frames to peers and counts the frames and bytes sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sent_frames = 0
        self.sent_bytes = 0
        self.dropped_frames = 0
        # By the class names of the frames.
        self.sent_bytes_by_kind: Counter[str] = Counter()

    def send(self, address: str, frame: Frame) -> bool:
        """Queue a frame for a peer; return False if it was dropped."""
        return self._transmit(address, encode_frame(frame), frame)

    def send_all(self, addresses: Iterable[str], frame: Frame) -> None:
        """Queue one frame for several peers."""
        content = encode_frame(frame)
        for address in addresses:
            self._transmit(address, content, frame)

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Close the connection to a peer and drop its queued frames."""

    def _transmit(self, address: str, content: bytes, frame: Frame) -> bool:
        if not self.transmit(address, content):
            self.dropped_frames += 1
            return False
        self.sent_frames += 1
        frame_bytes = len(content) + ZMTP_OVERHEAD_BYTES
        self.sent_bytes += frame_bytes
        self.sent_bytes_by_kind[type(frame).__name__] += frame_bytes
        return True

    @abstractmethod
    def transmit(self, address: str, content: bytes) -> bool:
        """Queue an encoded frame; return False if that is not possible."""


class ZmqPeerTransport(PeerTransport):
    """A transport over ZeroMQ sockets, as described for this module."""

    def __init__(self, bind: str) -> None:
        self._context = zmq.Context()
        self._receiver = self._context.socket(zmq.PULL)
        self._receiver.setsockopt(zmq.RCVHWM, RECEIVED_FRAMES)
        # The connection of a peer that sends a longer one is closed.
        self._receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._receiver.setsockopt(zmq.IPV6, int(bind.startswith('[')))
        host, _, port = bind.rpartition(':')
        self._receiver.bind(f'tcp://{host}:{port if int(port) else "*"}')
        endpoint = self._receiver.getsockopt_string(zmq.LAST_ENDPOINT)
        super().__init__(endpoint.removeprefix('tcp://'))
        self._senders: dict[str, zmq.Socket[bytes]] = {}

    def close(self) -> None:
        """Close all sockets and drop queued frames."""
        self._context.destroy(linger=100)

    def connect(self, address: str) -> None:
        """Open the connection to a peer unless it is open.

        Raises zmq.ZMQError if the address cannot be used.
        """
        if address in self._senders:
            return
        sender = self._context.socket(zmq.PUSH)
        for option, setting in SENDER_OPTIONS:
            sender.setsockopt(option, setting)
        sender.setsockopt(zmq.IPV6, int(address.startswith('[')))
        try:
            sender.connect(f'tcp://{address}')
        except zmq.ZMQError:
            sender.close(linger=0)
            raise
        self._senders[address] = sender

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer and drop its queued frames."""
        sender = self._senders.pop(address, None)
        if sender is not None:
            sender.close(linger=0)

    def transmit(self, address: str, content: bytes) -> bool:
        """Queue an encoded frame.

        Returns False if the peer is disconnected, its queue is full, or its
        address is none to which a connection can be made.
        """
        try:
            self.connect(address)
            self._senders[address].send(content, zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError as exc:
            log_failure('peer.unusable', address=address, error=str(exc))
            return False
        return True

    async def received_frames(self) -> AsyncIterator[bytes]:
        """Yield each encoded frame that arrives."""
        descriptor = self._receiver.fileno()
        for received in itertools.count():
            if received % FRAMES_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            try:
                content = self._receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                events = int(self._receiver.getsockopt(zmq.EVENTS))
                if not events & zmq.POLLIN:
                    await trio.lowlevel.wait_readable(descriptor)
                continue
            yield content
