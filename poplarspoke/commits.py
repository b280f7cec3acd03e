"""Requests to the store of the settings, and what follows on their answers.

A commit whose answer was lost is read again: the row of its change id tells
whether it took effect. If it did not, the same transaction is sent again, which
can take effect once only.
"""

import functools
import json
from typing import Any

from poplarspoke import changes, errors, records, versions
from poplarspoke.generated.common import ErrorCode, Outcome
from poplarspoke.generated.configuration import (
    ChangeRecord,
    Doubt,
    HistoryShown,
    SettingsChanged,
)
from poplarspoke.generated.platform import Commit, ReadRows, StoreLost
from poplarspoke.tasks import Outgoing, Reply

# An operator learns that the outcome is unknown; the commit goes on.
REPLY_LIMIT_S = 10.0


@functools.singledispatch
def send(step: Any, state: versions.ConfigurationState) -> ReadRows | Commit:
    """Returns the request to the store of a step, by its type."""
    raise TypeError(f'{type(step).__name__} is no step')


@send.register
def _(
    step: versions.HeadRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    return ReadRows((records.HEAD_KEY,))


@send.register
def _(
    step: versions.DocumentRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    return ReadRows((records.HEAD_KEY, records.DOCUMENT_KEY))


@send.register
def _(
    step: versions.HistoryRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    versions = range(step.newest, step.oldest - 1, -1)
    return ReadRows(tuple(map(records.name_history_row, versions)))


@send.register
def _(
    step: versions.ChangeRead, state: versions.ConfigurationState
) -> ReadRows | Commit:
    change_row = records.name_change_row(step.change.change_id)
    return ReadRows((records.HEAD_KEY, records.DOCUMENT_KEY, change_row))


@send.register
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
    raise TypeError(f'{type(step).__name__} is no step')


@resume.register
def _(
    step: versions.HeadRead,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    versions.note_head(state, answer)
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
        if record.version and _touches(record.path, step.request.path)
    )
    shown = HistoryShown(found, step.oldest)
    return [Reply(step.request.request_id, shown)]


@resume.register
def _(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    answer: versions.StoreAnswer,
) -> list[Outgoing]:
    """Bases a change on the current version, or finds that it is in force."""
    versions.adopt_rows(state, answer)
    change_row = records.name_change_row(step.change.change_id)
    recorded = records.read_record(answer.rows[change_row])
    if recorded.version:
        return _answer_recorded(step, state, recorded)
    if _get_base(step, answer) != state['snapshot'].version:
        return _answer_loser(step, state)
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
    lost: StoreLost,
) -> list[Outgoing]:
    """Continues a step whose answer was lost, by the step's type."""
    return []


@fail.register
def _(
    step: versions.HistoryRead,
    state: versions.ConfigurationState,
    lost: StoreLost,
) -> list[Outgoing]:
    refusal = errors.refuse(
        ErrorCode.STORE_UNAVAILABLE,
        f'the history cannot be read: {lost.detail}',
        outcome=Outcome.NOT_RUN,
    )
    return [Reply(step.request.request_id, refusal)]


@fail.register
def _(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    lost: StoreLost,
) -> list[Outgoing]:
    if step.sent:
        return _keep_unresolved(step, state)
    refusal = errors.refuse(
        ErrorCode.STORE_UNAVAILABLE,
        f'change {step.change.change_id!r} was not made: {lost.detail}',
        outcome=Outcome.NOT_RUN,
    )
    return _reply(step, refusal)


@fail.register
def _(
    step: versions.ChangeCommit,
    state: versions.ConfigurationState,
    lost: StoreLost,
) -> list[Outgoing]:
    if lost.not_sent:
        return fail(step.read, state, lost)
    doubt = Doubt(step.record.change_id, step.record.version, step.keys)
    versions.add_doubt(state, doubt)
    read = step.read._replace(sent=True, based_on=step.record.version - 1)
    return _keep_unresolved(read, state)


def _keep_unresolved(
    read: versions.ChangeRead,
    state: versions.ConfigurationState,
) -> list[Outgoing]:
    """Keeps a change to be read again; its outcome is unknown so far."""
    late = state['step_sent_at_s'] - read.asked_at_s >= REPLY_LIMIT_S
    state['unresolved'].append(read._replace(answered=read.answered or late))
    if read.answered or not late:
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
    """Finds whether an earlier attempt of this change or another one won."""
    change_row = records.name_change_row(step.record.change_id)
    recorded = records.read_record(answer.rows[change_row])
    if recorded.version:
        return _answer_recorded(step.read, state, recorded)
    winner = records.read_record(answer.rows[records.HEAD_KEY])
    versions.note_head(state, answer)
    return _reply(step.read, _describe_winner(step.read, winner))


def _answer_recorded(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
    recorded: ChangeRecord,
) -> list[Outgoing]:
    state['store_version'] = max(state['store_version'], recorded.version)
    if recorded.digest != records.digest_change(step.change):
        refusal = errors.refuse(
            ErrorCode.CONFLICT,
            f'change id {recorded.change_id!r} was used by {recorded.who} for '
            f'another change, of {recorded.path!r}; take a new id',
        )
        return _reply(step, refusal)
    repeated = not step.sent
    changed = SettingsChanged(recorded.change_id, recorded.version, repeated)
    return _reply(step, changed)


def _answer_loser(
    step: versions.ChangeRead,
    state: versions.ConfigurationState,
) -> list[Outgoing]:
    snapshot = state['snapshot']
    winner = ChangeRecord(
        version=snapshot.version,
        path=snapshot.path,
        who=snapshot.who,
        why=snapshot.why,
    )
    return _reply(step, _describe_winner(step, winner))


def _describe_winner(step: versions.ChangeRead, winner: ChangeRecord) -> Any:
    return errors.refuse(
        ErrorCode.CONFLICT,
        f'change {step.change.change_id!r} was not made: {winner.who} changed '
        f'{winner.path!r} first ({winner.why}), which made version '
        f'{winner.version}',
    )


def _reply(step: versions.ChangeRead, message: Any) -> list[Outgoing]:
    if step.answered:
        return []
    return [Reply(step.change.request_id, message)]


def _get_base(
    step: versions.ChangeRead,
    answer: versions.StoreAnswer,
) -> int:
    """Returns the version that the change must be made on."""
    if step.sent:
        return step.based_on
    return step.change.base_version or answer.rows[records.HEAD_KEY].version


def _touches(path: str, wanted: str) -> bool:
    """Returns whether a change of a path shows at another one."""
    names = changes.split_path(path)
    wanted_names = changes.split_path(wanted)
    shared = min(len(names), len(wanted_names))
    return names[:shared] == wanted_names[:shared]
