"""Creates and submits changes of the settings."""

import functools
import hashlib
import json
from typing import Any, NamedTuple

import anyio

from poplarspoke import errors, files
from poplarspoke.cli import definitions, documents, output
from poplarspoke.cli.client import Client, CommandError
from poplarspoke.context import Context
from poplarspoke.generated.configuration import ChangeSettings, SettingsSnapshot
from poplarspoke.generated.membership import HostsShown
from poplarspoke.status import ExitStatus

POLL_INTERVAL_S = 0.25
MAX_WAIT_S = 3600
KEY_ID_BITS = 48
SECRET_BITS = 256
CHANGE_ID_CHARACTERS = 32
TEAM_DEPTH = 2  # Path components of ``teams/<team>``.


class Proposal(NamedTuple):
    """Changes that have not been submitted yet.

    Attributes:
        steps: Changes in the order of submission.
        who: Who makes the changes.
        why: Reason for the history.
        wait_s: Seconds to wait until they are in force on all hosts.
        key: New key to print after the change is accepted, or empty.
        plan_only: Whether to print the difference only.
        kept: Paths whose values in force are kept.
    """

    steps: tuple[documents.Step, ...]
    who: str
    why: str
    wait_s: float
    key: str = ''
    plan_only: bool = False
    kept: tuple[str, ...] = ()


def read_document(snapshot: SettingsSnapshot) -> Any:
    """Returns the document of a snapshot.

    Raises:
        CommandError: The document of the daemon is not valid JSON.
    """
    try:
        return json.loads(snapshot.document or '{}')
    except (ValueError, RecursionError) as exc:
        raise CommandError(
            'the daemon sent settings that are not valid JSON; '
            'use the same version as the daemon',
            ExitStatus.INTERNAL,
        ) from exc


@functools.singledispatch
def propose(command: Any, document: Any, context: Context) -> Proposal:
    """Returns the changes that a command makes.

    Args:
        command: The command.
        document: Settings document in force.
        context: Random source for new keys.
    """
    raise TypeError(f'{type(command).__name__} does not change settings')


@propose.register
def _(
    command: definitions.Change,
    document: Any,
    context: Context,
) -> Proposal:
    content = documents.parse_value(command.path, command.value)
    return _create_proposal(command, command.path, content)


@propose.register
def _(command: definitions.Apply, document: Any, context: Context) -> Proposal:
    desired = files.load_document(command.directory)
    plan = documents.create_plan(document, desired)
    for step in plan.steps:
        if command.team and step.team != command.team:
            raise CommandError(
                f'the files also change {step.path or "the whole document"}, '
                f'which does not belong to team {command.team}; '
                'start from the settings in force, or omit --team',
                ExitStatus.REFUSED,
            )
    return _create_multi_step_proposal(command, plan.steps)._replace(
        plan_only=command.plan,
        kept=plan.kept,
    )


@propose.register
def _(
    command: definitions.CreateWorkspace,
    document: Any,
    context: Context,
) -> Proposal:
    for existing, _ in documents.list_workspaces(document):
        if existing.rpartition('/')[2] == command.workspace:
            raise CommandError(
                f'workspace {command.workspace} exists at {existing}; '
                'change its values with "change"',
                ExitStatus.REFUSED,
            )
    path = f'teams/{command.team}/workspaces/{command.workspace}'
    content = {
        name: documents.parse_value(f'{path}/{name}', text)
        for name, text in (('rate', command.rate), ('burst', command.burst))
    }
    return _create_proposal(command, path, content)


@propose.register
def _(
    command: definitions.CreateKey,
    document: Any,
    context: Context,
) -> Proposal:
    path = _find_workspace(document, command.workspace)
    key_id = f'{context.random.getrandbits(KEY_ID_BITS):012x}'
    secret = f'{context.random.getrandbits(SECRET_BITS):064x}'
    key = f'pk_{key_id}_{secret}'
    digest = hashlib.sha256(key.encode()).hexdigest()
    content = {'digest': digest, 'revoked': False}
    proposal = _create_proposal(command, f'{path}/keys/{key_id}', content)
    return proposal._replace(key=key)


@propose.register
def _(
    command: definitions.RevokeKey,
    document: Any,
    context: Context,
) -> Proposal:
    workspace = _find_workspace(document, command.workspace)
    path = f'{workspace}/keys/{command.key_id}'
    _check_exists(document, path, 'key', command.key_id)
    return _create_proposal(command, f'{path}/revoked', content=True)


@propose.register
def _(
    command: definitions.ZoneOut,
    document: Any,
    context: Context,
) -> Proposal:
    path = _find_zone(document, command.zone)
    return _create_proposal(command, f'{path}/in_service', content=False)


@propose.register
def _(
    command: definitions.ZoneIn,
    document: Any,
    context: Context,
) -> Proposal:
    path = _find_zone(document, command.zone)
    return _create_proposal(command, f'{path}/in_service', content=True)


@propose.register
def _(
    command: definitions.EndpointOut,
    document: Any,
    context: Context,
) -> Proposal:
    path = _find_endpoint(document, command.endpoint)
    return _create_proposal(command, f'{path}/in_service', content=False)


@propose.register
def _(
    command: definitions.EndpointIn,
    document: Any,
    context: Context,
) -> Proposal:
    path = _find_endpoint(document, command.endpoint)
    return _create_proposal(command, f'{path}/in_service', content=True)


async def submit(
    proposal: Proposal,
    snapshot: SettingsSnapshot,
    client: Client,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    """Prints the differences, submits the changes and waits for the hosts.

    Returns when the changes are in force on all live hosts, or after
    ``wait_s``.

    Args:
        proposal: The changes.
        snapshot: Settings on which the changes are based.
        client: Connection to a daemon.
        printer: Prints the differences and the outcome.
        context: Monotonic clock.
    """
    document = read_document(snapshot)
    steps = _list_effective_steps(proposal, document)
    desired = document
    for step in steps:
        desired = documents.replace_at(desired, step.path, step.content)
        _validate_document(desired)
    differences = tuple(documents.list_differences(document, desired))
    printer.write(
        output.Planned(snapshot.version, differences, proposal.kept),
    )
    if proposal.plan_only:
        return ExitStatus.SUCCESS
    version = snapshot.version
    for accepted_step in steps:
        change = _create_change(proposal, accepted_step, version)
        accepted = await client.submit(change)
        version = accepted.version
        printer.write(output.Accepted(version, change.change_id, proposal.key))
    return await _wait_until_in_force(
        version,
        proposal.wait_s,
        client,
        printer,
        context,
    )


def _list_effective_steps(
    proposal: Proposal, document: Any
) -> list[documents.Step]:
    """Returns the steps that change the document."""
    steps = []
    for step in proposal.steps:
        desired = documents.replace_at(document, step.path, step.content)
        if desired == document:
            continue
        steps.append(step)
        document = desired
    return steps


async def _wait_until_in_force(
    version: int,
    wait_s: float,
    client: Client,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    """Waits for the live hosts; prints the hosts that lack the version."""
    deadline_s = context.now_s() + wait_s
    while True:
        hosts = await client.fetch(HostsShown, '/hosts')
        missing = output.list_missing_hosts(hosts, version)
        waited_for = [host for host in missing if host.live]
        if not waited_for or context.now_s() >= deadline_s:
            break
        await anyio.sleep(POLL_INTERVAL_S)
    printer.write(output.InForce(version, len(hosts.hosts), tuple(missing)))
    return ExitStatus.NOT_IN_FORCE if missing else ExitStatus.SUCCESS


def _create_proposal(command: Any, path: str, content: Any) -> Proposal:
    """Returns a proposal of one change.

    A path inside a team is changed on behalf of that team, unless --team names
    another one. The daemon refuses a change by another team.
    """
    team = getattr(command, 'team', '')
    names = documents.split_path(path)
    if not team and names[:1] == [documents.TEAMS] and len(names) > TEAM_DEPTH:
        team = names[1]
    return _create_multi_step_proposal(
        command, (documents.Step(path, content, team),)
    )


def _create_multi_step_proposal(
    command: Any,
    steps: tuple[documents.Step, ...],
) -> Proposal:
    for name in ('who', 'why'):
        if not getattr(command, name).strip():
            raise CommandError(
                f'--{name} is empty; the history needs it',
                ExitStatus.USAGE,
            )
    return Proposal(
        steps=steps,
        who=command.who,
        why=command.why,
        wait_s=_parse_wait_s(command.wait),
    )


def _parse_wait_s(text: str) -> float:
    if text.isdecimal() and int(text) <= MAX_WAIT_S:
        return int(text)
    raise CommandError(
        f'--wait {text!r} is no number of seconds from 0 to {MAX_WAIT_S}; '
        'give whole seconds',
        ExitStatus.USAGE,
    )


def _create_change(
    proposal: Proposal,
    step: documents.Step,
    version: int,
) -> ChangeSettings:
    """Returns the message; equal steps on a version have the same change id."""
    change = ChangeSettings(
        team=step.team,
        path=step.path,
        content=json.dumps(step.content, sort_keys=True),
        who=proposal.who,
        why=proposal.why,
        base_version=version,
    )
    digest = hashlib.sha256(json.dumps(change).encode()).hexdigest()
    return change._replace(change_id=digest[:CHANGE_ID_CHARACTERS])


def _validate_document(desired: Any) -> None:
    faults = files.find_all_faults(files.DOCUMENT_SCHEMA, desired, 'settings')
    if faults:
        raise errors.SettingsError('\n'.join(map(files.format_fault, faults)))


def _find_workspace(document: Any, name: str) -> str:
    names = []
    for path, _ in documents.list_workspaces(document):
        names.append(path.rpartition('/')[2])
        if names[-1] == name:
            return path
    raise _create_not_found_error('workspace', name, names)


def _find_zone(document: Any, name: str) -> str:
    path = f'zones/{name}'
    _check_exists(document, path, 'zone', name)
    return path


def _find_endpoint(document: Any, name: str) -> str:
    names: list[str] = []
    for database, group in document.get('databases', {}).items():
        if name in group['endpoints']:
            return f'databases/{database}/endpoints/{name}'
        names.extend(group['endpoints'])
    raise _create_not_found_error('endpoint', name, names)


def _check_exists(document: Any, path: str, kind: str, name: str) -> None:
    parent = documents.find_at(document, path.rpartition('/')[0]) or {}
    if name not in parent:
        raise _create_not_found_error(kind, name, list(parent))


def _create_not_found_error(
    kind: str, name: str, known: list[str]
) -> CommandError:
    nearest = files.find_nearest(name, known)
    hint = f'did you mean {nearest!r}? ' if nearest else ''
    return CommandError(
        f'there is no {kind} {name!r}; {hint}list them with "show"',
        ExitStatus.NOT_FOUND,
    )
