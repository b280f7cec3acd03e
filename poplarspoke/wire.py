"""Length-prefixed capnp frames between daemons and the link handshake.

Both ends of a link prove knowledge of the peer secret with an HMAC over both
nonces and both names, so a recorded handshake cannot be replayed.
"""

import hashlib
import hmac
from typing import Any, NamedTuple

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from poplarspoke import codec, errors
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.peers import Hello, PeerFrame

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1048576
# Limit on frames of a peer that has not proved that it knows the secret.
MAX_HELLO_BYTES = 4096
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0


class LinkError(errors.PoplarspokeError):
    """A link to another daemon failed or sent invalid data."""

    code = ErrorCode.NO_ENDPOINT


class LinkIdentity(NamedTuple):
    """Credentials of this daemon on one link.

    Attributes:
        name: Name of this host.
        secret: Peer secret of the fleet.
        nonce: Random bytes, new for each link.
    """

    name: str
    secret: bytes
    nonce: bytes


class FrameStream:
    """Reads and writes frames on one byte stream."""

    def __init__(self, stream: ByteStream) -> None:
        """Wraps an open stream, which the caller closes."""
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)

    async def send(self, *frames: PeerFrame) -> None:
        """Writes all frames in one write."""
        parts: list[bytes] = []
        for frame in frames:
            payload = codec.encode(frame)
            parts.append(len(payload).to_bytes(LENGTH_BYTES, 'big'))
            parts.append(payload)
        await self._stream.send(b''.join(parts))

    async def receive(self, max_bytes: int = MAX_FRAME_BYTES) -> PeerFrame:
        """Reads one frame.

        Args:
            max_bytes: Size limit.

        Raises:
            LinkError: The frame exceeds the size limit or is truncated.
            codec.FormatError: The frame is malformed.
        """
        try:
            head = await self._buffer.receive_exactly(LENGTH_BYTES)
            size = int.from_bytes(head, 'big')
            if size > max_bytes:
                raise LinkError(f'frame of {size} bytes exceeds the limit')
            payload = await self._buffer.receive_exactly(size)
        except anyio.IncompleteRead as exc:
            raise LinkError('the peer closed the link') from exc
        return codec.decode(PeerFrame, payload)


def compute_proof(
    identity: LinkIdentity,
    other: Hello,
    *,
    prover: str,
    connector_nonce: bytes,
) -> bytes:
    """Returns the HMAC-SHA-256 that proves knowledge of the peer secret."""
    acceptor_nonce = other.nonce
    if connector_nonce == other.nonce:
        acceptor_nonce = identity.nonce
    names = sorted((identity.name, other.sender))
    parts = [prover, *names, connector_nonce.hex(), acceptor_nonce.hex()]
    text = '\n'.join(parts).encode()
    return hmac.new(identity.secret, text, hashlib.sha256).digest()


async def connect_link(frames: FrameStream, identity: LinkIdentity) -> str:
    """Authenticates as the side that connected; returns the peer's name.

    Raises:
        LinkError: The other side does not know the secret.
    """
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        await _send_hello(frames, identity, b'')
        hello = await _receive_hello(frames)
        _verify(hello, identity, connector_nonce=identity.nonce)
        proof = compute_proof(
            identity,
            hello,
            prover=identity.name,
            connector_nonce=identity.nonce,
        )
        await _send_hello(frames, identity, proof)
    return hello.sender


async def accept_link(frames: FrameStream, identity: LinkIdentity) -> str:
    """Authenticates as the side that accepted; returns the peer's name.

    Raises:
        LinkError: The other side does not know the secret.
    """
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        opening = await _receive_hello(frames)
        proof = compute_proof(
            identity,
            opening,
            prover=identity.name,
            connector_nonce=opening.nonce,
        )
        await _send_hello(frames, identity, proof)
        closing = await _receive_hello(frames)
        if closing[:2] != opening[:2]:
            raise LinkError('the peer changed its name in the handshake')
        _verify(closing, identity, connector_nonce=opening.nonce)
    return opening.sender


async def _send_hello(
    frames: FrameStream,
    identity: LinkIdentity,
    proof: bytes,
) -> None:
    await frames.send(
        PeerFrame(body=Hello(identity.name, identity.nonce, proof)),
    )


async def _receive_hello(frames: FrameStream) -> Hello:
    frame = await frames.receive(MAX_HELLO_BYTES)
    hello: Any = frame.body
    if not isinstance(hello, Hello) or len(hello.nonce) != NONCE_BYTES:
        raise LinkError('the peer sent no valid hello frame')
    return hello


def _verify(
    hello: Hello,
    identity: LinkIdentity,
    *,
    connector_nonce: bytes,
) -> None:
    expected = compute_proof(
        identity,
        hello,
        prover=hello.sender,
        connector_nonce=connector_nonce,
    )
    own_name = hello.sender == identity.name
    if own_name or not hmac.compare_digest(expected, hello.proof):
        raise LinkError(
            'the peer does not know the peer secret; '
            'set the same secrets.peer on all hosts',
        )
