"""Store requests of the settings task, and the handling of their answers.

If the answer to a commit is lost, the row of its change id is read: it shows
whether the commit took effect. If it did not, the same transaction is sent
again. Its row conditions ensure that it takes effect at most once.
"""

import functools
import json
from typing import Any

from poplarspoke import changes, errors, records, versions
from poplarspoke.generated.common import ErrorCode, Outcome
from poplarspoke.generated.configuration import (
    ChangeRecord,
    HistoryShown,
    SettingsChanged,
    UnresolvedChange,
)
from poplarspoke.generated.platform import Commit, ReadRows, StoreRequestFailed
from poplarspoke.tasks import Outgoing, Reply

# After this time an operator gets the answer that the outcome is unknown; the
# retries of the commit continue.
REPLY_TIMEOUT_S = 10.0


@functools.singledispatch
def create_store_request(
    step: Any, state: versions.ConfigurationState
) -> ReadRows | Commit:
    """Returns the store request of a step, by the step's type."""
    raise TypeError(f'{type(step).__name__} is not a step')


@create_store_request.register
def _(
    step: versions.HeadRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    return ReadRows((records.HEAD_KEY,))


@create_store_request.register
def _(
    step: versions.DocumentRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    return ReadRows((records.HEAD_KEY, records.DOCUMENT_KEY))


@create_store_request.register
def _(
    step: versions.HistoryRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    versions = range(step.newest, step.oldest - 1, -1)
    return ReadRows(tuple(map(records.get_history_row_key, versions)))


@create_store_request.register
def _(
    step: versions.ChangeRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    change_row = records.get_change_row_key(step.change.change_id)
    return ReadRows((records.HEAD_KEY, records.DOCUMENT_KEY, change_row))


@create_store_request.register
def _(
    step: versions.ChangeCommit, state: versions.ConfigurationState
) -> ReadRows | Commit:
    return records.create_commit(step.record, step.document)


@functools.singledispatch
def resume(
    step: Any,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    """Continues a step with the answer of the store, by the step's type."""
    raise TypeError(f'{type(step).__name__} is not a step')


@resume.register
def _(
    step: versions.HeadRead,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    versions.record_head_version(state, answer)
    return []


@resume.register
def _(
    step: versions.DocumentRead,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    versions.adopt_rows(state, answer)
    return []


@resume.register
def _(
    step: versions.HistoryRead,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    found = tuple(
        record
        for record in map(records.read_record, answer.rows.values())
        if record.version and _is_related_path(record.path, step.request.path)
    )
    shown = HistoryShown(found, step.oldest)
    return [Reply(step.request.request_id, shown)]


@resume.register
def _(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    """Queues the commit of a change on the current version.

    If the table already holds the change, or the version that the change must
    be based on is no longer the current one, the operator is answered instead.
    """
    versions.adopt_rows(state, answer)
    change_row = records.get_change_row_key(step.change.change_id)
    recorded = records.read_record(answer.rows[change_row])
    if recorded.version:
        return _reply_recorded(step, state, recorded)
    if _get_base_version(step, answer) != state['snapshot'].version:
        return _refuse_outdated_change(step, state)
    try:
        commit = _create_commit(step, state, answer.message.now_s)
    except errors.SettingsError as exc:
        return _reply(step, errors.refuse_from(exc))
    state['waiting'].insert(0, commit)
    return []


@resume.register
def _(
    step: versions.ChangeCommit,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    if not answer.message.committed:
        return _resolve_failed_commit(step, state, answer)
    snapshot = records.create_snapshot(step.record, step.document)
    versions.adopt(state, snapshot, answer.now_s)
    state['store_version'] = max(state['store_version'], step.record.version)
    changed = SettingsChanged(step.record.change_id, step.record.version)
    return _reply(step.read, changed)


@functools.singledispatch
def fail(
    step: Any,
    state: versions.ConfigurationState,
    failure: StoreRequestFailed,
) -> list[Outgoing]:
    """Handles the failed store request of a step, by the step's type."""
    return []


@fail.register
def _(
    step: versions.HistoryRead,
    state: versions.ConfigurationState,
    failure: StoreRequestFailed,
) -> list[Outgoing]:
    refusal = errors.refuse(
        ErrorCode.STORE_UNAVAILABLE,
        f'the history cannot be read: {failure.detail}',
        outcome=Outcome.NOT_RUN,
    )
    return [Reply(step.request.request_id, refusal)]


@fail.register
def _(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    failure: StoreRequestFailed,
) -> list[Outgoing]:
    if step.sent:
        return _queue_unresolved(step, state)
    refusal = errors.refuse(
        ErrorCode.STORE_UNAVAILABLE,
        f'change {step.change.change_id!r} was not made: {failure.detail}',
        outcome=Outcome.NOT_RUN,
    )
    return _reply(step, refusal)


@fail.register
def _(
    step: versions.ChangeCommit,
    state: versions.ConfigurationState,
    failure: StoreRequestFailed,
) -> list[Outgoing]:
    if failure.not_sent:
        return fail(step.read, state, failure)
    unresolved_change = UnresolvedChange(
        step.record.change_id, step.record.version, step.keys
    )
    versions.add_unresolved_change(state, unresolved_change)
    read = step.read._replace(sent=True, based_on=step.record.version - 1)
    return _queue_unresolved(read, state)


def _queue_unresolved(
    read: versions.ChangeRead,
    state: versions.ConfigurationState,
) -> list[Outgoing]:
    """Queues a change of unknown outcome to be read again."""
    is_late = state['step_sent_at_s'] - read.asked_at_s >= REPLY_TIMEOUT_S
    state['unresolved'].append(read._replace(answered=read.answered or is_late))
    if read.answered or not is_late:
        return []
    refusal = errors.refuse(
        ErrorCode.STORE_UNAVAILABLE,
        f'the outcome of change {read.change.change_id!r} is unknown',
    )
    return [Reply(read.change.request_id, refusal)]


def _create_commit(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    table_now_s: float,
) -> versions.ChangeCommit:
    document = changes.apply_change(state['document'], step.change)
    return versions.ChangeCommit(
        read=step,
        record=records.create_record(
            step.change,
            version=state['snapshot'].version + 1,
            accepted_at_s=table_now_s,
        ),
        document=json.dumps(document, sort_keys=True),
        keys=changes.list_withdrawn_keys(state['document'], document),
    )


def _resolve_failed_commit(
    step: versions.ChangeCommit,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    """Answers the operator of a commit whose conditions did not hold.

    Either an earlier attempt of the same change took effect or another change
    was accepted first.
    """
    change_row = records.get_change_row_key(step.record.change_id)
    recorded = records.read_record(answer.rows[change_row])
    if recorded.version:
        return _reply_recorded(step.read, state, recorded)
    earlier = records.read_record(answer.rows[records.HEAD_KEY])
    versions.record_head_version(state, answer)
    return _reply(step.read, _create_conflict_refusal(step.read, earlier))


def _reply_recorded(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    recorded: ChangeRecord,
) -> list[Outgoing]:
    state['store_version'] = max(state['store_version'], recorded.version)
    if recorded.digest != records.compute_change_digest(step.change):
        refusal = errors.refuse(
            ErrorCode.CONFLICT,
            f'change id {recorded.change_id!r} was used by {recorded.who} for '
            f'another change, of {recorded.path!r}; take a new id',
        )
        return _reply(step, refusal)
    repeated = not step.sent
    changed = SettingsChanged(recorded.change_id, recorded.version, repeated)
    return _reply(step, changed)


def _refuse_outdated_change(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
) -> list[Outgoing]:
    snapshot = state['snapshot']
    earlier = ChangeRecord(
        version=snapshot.version,
        path=snapshot.path,
        who=snapshot.who,
        why=snapshot.why,
    )
    return _reply(step, _create_conflict_refusal(step, earlier))


def _create_conflict_refusal(
    step: versions.ChangeRead, earlier: ChangeRecord
) -> Any:
    return errors.refuse(
        ErrorCode.CONFLICT,
        f'change {step.change.change_id!r} was not made: {earlier.who} changed '
        f'{earlier.path!r} first ({earlier.why}), which made version '
        f'{earlier.version}',
    )


def _reply(step: versions.ChangeRead, message: Any) -> list[Outgoing]:
    if step.answered:
        return []
    return [Reply(step.change.request_id, message)]


def _get_base_version(
    step: versions.ChangeRead,
    answer: versions.StoreAnswer,
) -> int:
    """Returns the version that the change must be based on."""
    if step.sent:
        return step.based_on
    return step.change.base_version or answer.rows[records.HEAD_KEY].version


def _is_related_path(path: str, wanted: str) -> bool:
    """Returns whether one path equals, contains or lies below the other."""
    names = changes.split_path(path)
    wanted_names = changes.split_path(wanted)
    shared = min(len(names), len(wanted_names))
    return names[:shared] == wanted_names[:shared]
