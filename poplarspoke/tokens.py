"""Session tokens, which carry a session's positions between its requests.

A token is signed with a key derived from the workspace, so it is not valid for
any other workspace, and no host stores sessions.
"""

import functools
import hashlib
import zlib

import itsdangerous
from itsdangerous import encoding

from poplarspoke import codec, errors
from poplarspoke.generated.sessions import Session

MAX_TOKEN_BYTES = 1024
SALT = 'poplarspoke.session.'
SIGNER_CACHE_SIZE = 1024
DECODE_ERRORS = (itsdangerous.BadData, codec.FormatError, zlib.error)


def sign(session: Session, workspace: str, secrets: tuple[str, ...]) -> str:
    """Returns the token of a session, at most ``MAX_TOKEN_BYTES`` long.

    Positions that do not fit are omitted and the session is marked as
    overflowed: reads of the databases that are not listed become strict, so
    read-your-writes still holds.

    Args:
        session: Positions that the session requires.
        workspace: The only workspace that may present the token.
        secrets: Signing secrets, oldest first; the last one signs.
    """
    signer = _create_signer(workspace, secrets)
    bounded = session
    token = _encode(bounded, signer)
    while len(token) > MAX_TOKEN_BYTES:
        bounded = Session(bounded.positions[:-1], overflowed=True)
        token = _encode(bounded, signer)
    return token.decode('ascii')


def verify(token: str, workspace: str, secrets: tuple[str, ...]) -> Session:
    """Returns the session of a token; an empty token is a new session.

    Args:
        token: Token as the caller sent it.
        workspace: Workspace of the caller's key.
        secrets: Accepted signing secrets, oldest first.

    Raises:
        errors.TokenError: The token is too long, was changed, or belongs to
            another workspace.
    """
    if not token:
        return Session()
    if len(token) > MAX_TOKEN_BYTES:
        raise errors.TokenError(
            f'the session token is over {MAX_TOKEN_BYTES} bytes',
        )
    try:
        return _decode(token, _create_signer(workspace, secrets))
    except DECODE_ERRORS as exc:
        raise errors.TokenError(
            f'the session token is not valid for workspace {workspace!r}',
        ) from exc


@functools.lru_cache(maxsize=SIGNER_CACHE_SIZE)
def _create_signer(
    workspace: str,
    secrets: tuple[str, ...],
) -> itsdangerous.Signer:
    return itsdangerous.Signer(
        list(secrets),
        salt=f'{SALT}{workspace}',
        key_derivation='hmac',
        digest_method=hashlib.sha256,
    )


def _encode(session: Session, signer: itsdangerous.Signer) -> bytes:
    payload = zlib.compress(codec.encode(session))
    return signer.sign(encoding.base64_encode(payload))


def _decode(token: str, signer: itsdangerous.Signer) -> Session:
    # The signature is checked first, so that only data that this service
    # signed is decompressed.
    signed = signer.unsign(token.encode('utf-8', 'surrogatepass'))
    payload = zlib.decompress(encoding.base64_decode(signed))
    return codec.decode(Session, payload)
