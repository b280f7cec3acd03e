"""Rows of the platform's table that hold the settings.

The row ``settings`` holds the record of the last change. It is small, since
every host reads it every second. The document is in a separate row, written in
the same transaction, so both rows have the same version.
"""

import base64
import binascii
import hashlib
import json
import zlib

from poplarspoke import codec
from poplarspoke.changes import MAX_DOCUMENT_CHARACTERS
from poplarspoke.generated.configuration import (
    ChangeRecord,
    ChangeSettings,
    SettingsSnapshot,
)
from poplarspoke.generated.platform import (
    Commit,
    Row,
    RowCondition,
    RowWrite,
)

HEAD_KEY = 'settings'
DOCUMENT_KEY = 'settings/document'
# The history rows omit longer values; the document has the current ones.
MAX_RECORDED_CHARACTERS = 4096


def get_change_row_key(change_id: str) -> str:
    """Returns the key of the row that makes a change id unique."""
    digest = hashlib.sha256(change_id.encode()).hexdigest()
    return f'settings/changes/{digest}'


def get_history_row_key(version: int) -> str:
    """Returns the key of the row with the change that created a version."""
    return f'settings/history/{version}'


def compute_change_digest(change: ChangeSettings) -> str:
    """Returns the SHA-256 of a change's team, path and content, in hex."""
    parts = json.dumps([change.team, change.path, change.content])
    return hashlib.sha256(parts.encode()).hexdigest()


def create_record(
    change: ChangeSettings,
    *,
    version: int,
    accepted_at_s: float,
) -> ChangeRecord:
    """Returns the record of a change for the table.

    Args:
        change: The change.
        version: Version that the change creates.
        accepted_at_s: Table clock at the read that the change is based on.
    """
    is_short = len(change.content) <= MAX_RECORDED_CHARACTERS
    return ChangeRecord(
        version=version,
        change_id=change.change_id,
        team=change.team,
        path=change.path,
        content=change.content if is_short else '',
        digest=compute_change_digest(change),
        who=change.who,
        why=change.why,
        accepted_at_s=accepted_at_s,
    )


def create_commit(record: ChangeRecord, document: str) -> Commit:
    """Returns the transaction that accepts a change.

    Its conditions fail if another change, or this one, was accepted since the
    read that it is based on.

    Args:
        record: Record of the change.
        document: JSON of the changed document.
    """
    base_version = record.version - 1
    change_row = get_change_row_key(record.change_id)
    content = json.dumps(codec.to_object(record))
    return Commit(
        conditions=(
            RowCondition(HEAD_KEY, base_version),
            RowCondition(change_row, 0),
        ),
        writes=(
            RowWrite(HEAD_KEY, content),
            RowWrite(DOCUMENT_KEY, _compress(document)),
            RowWrite(change_row, content),
            RowWrite(get_history_row_key(record.version), content),
        ),
    )


def read_record(row: Row) -> ChangeRecord:
    """Returns the record that a row holds; version 0 if the row is absent.

    Raises:
        codec.FormatError: The row does not hold a change record.
    """
    if not row.version:
        return ChangeRecord()
    try:
        source = json.loads(row.content)
    except (ValueError, RecursionError) as exc:
        raise codec.FormatError(f'row {row.key} is not valid JSON') from exc
    return codec.parse(ChangeRecord, source)


def create_snapshot(record: ChangeRecord, document: str) -> SettingsSnapshot:
    """Returns the snapshot of the version that a change created."""
    return SettingsSnapshot(
        version=record.version,
        document=document,
        accepted_at_s=record.accepted_at_s,
        who=record.who,
        why=record.why,
        path=record.path,
        change_id=record.change_id,
    )


def read_snapshot(head: Row, document: Row) -> SettingsSnapshot:
    """Returns the snapshot in the head and document rows of one read.

    Raises:
        codec.FormatError: The rows differ in version or are unreadable.
    """
    record = read_record(head)
    if head.version != document.version or record.version != head.version:
        raise codec.FormatError(
            f'row {HEAD_KEY} is at version {head.version}, '
            f'{DOCUMENT_KEY} at {document.version}',
        )
    if not head.version:
        return SettingsSnapshot()
    return create_snapshot(record, _decompress(document))


def _compress(document: str) -> str:
    # At 1900 endpoints, a document in escaped JSON would exceed the body limit.
    return base64.b64encode(zlib.compress(document.encode())).decode()


def _decompress(row: Row) -> str:
    decompressor = zlib.decompressobj()
    try:
        packed = base64.b64decode(row.content, validate=True)
        text = decompressor.decompress(packed, MAX_DOCUMENT_CHARACTERS).decode()
    except (binascii.Error, zlib.error, UnicodeDecodeError) as exc:
        raise codec.FormatError(f'row {row.key} is damaged') from exc
    if not decompressor.eof:
        raise codec.FormatError(f'row {row.key} is too large or truncated')
    return text
