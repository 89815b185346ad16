"""gRPC client for calls to the other entry hosts."""

from __future__ import annotations

import attrs
import grpc

from jujubebend import errors, resources
from jujubebend_wire import entry_pb2, entry_pb2_grpc

HEARTBEAT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
MAX_MESSAGE_BYTES = resources.GIB // 10
GRPC_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_retries', 0),
    ('grpc.so_reuseport', 0),
)


@attrs.define(eq=False)
class Peers:
    """gRPC channels to the other entry hosts, opened on first use."""

    _channels: dict[str, grpc.aio.Channel] = attrs.field(factory=dict)
    _stubs: dict[str, entry_pb2_grpc.EntryStub] = attrs.field(factory=dict)

    async def call(
        self, address: str, method: str, message: object, timeout: float
    ) -> object:
        """Call a method of the host at ``address`` and return its reply.

        ``timeout`` is in seconds. Raises ``errors.UnreachableError`` if no
        reply arrives; the call may have taken effect.
        """
        stub = self._get_stub(address)
        try:
            return await getattr(stub, method)(message, timeout=timeout)
        except grpc.aio.AioRpcError as exc:
            failure = f'{exc.code().name} {exc.details()}'
        raise errors.UnreachableError(f'{method} at {address}: {failure}')

    async def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            await channel.close()

    def _get_stub(self, address: str) -> entry_pb2_grpc.EntryStub:
        if address not in self._stubs:
            channel = grpc.aio.insecure_channel(address, options=GRPC_OPTIONS)
            self._channels[address] = channel
            self._stubs[address] = entry_pb2_grpc.EntryStub(channel)
        return self._stubs[address]


def encode_amounts(amounts: resources.Resources) -> entry_pb2.Amounts:
    """Encode resource amounts as a message."""
    return entry_pb2.Amounts(**attrs.asdict(amounts))


def decode_amounts(message: entry_pb2.Amounts) -> resources.Resources:
    """Decode resource amounts from a message."""
    return resources.Resources(
        message.slots,
        message.connections,
        message.milli_cpus,
        message.memory_bytes,
        message.accelerators,
    )
