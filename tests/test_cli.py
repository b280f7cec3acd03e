"""Guards the commands, run against a fake daemon on loopback."""

import contextlib
import hashlib
import io
import json
import pathlib
import threading
from collections.abc import Callable, Iterator
from typing import Any
from urllib import parse as url

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import core, errors, files, web
from poplarspoke.cli import arguments, changing, definitions, documents, output
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.configuration import (
    ChangeRecord,
    ChangeSettings,
    HistoryShown,
    SettingsChanged,
    SettingsShown,
    SettingsSnapshot,
)
from poplarspoke.generated.membership import HostsShown, HostStatus
from poplarspoke.generated.operators import AutomaticAct, Events, RequestTrace
from poplarspoke.status import ExitStatus
from tests.test_core import create_context, read_output

SECRET = 'MARKED-operator-secret'
AUTHOR_OPTIONS = ['--who', 'ines', '--why', 'TICKET-7', '--wait', '0']
DOCUMENT: dict[str, Any] = {
    'teams': {
        'labels': {
            'workspaces': {
                'baguette': {
                    'rate': 200,
                    'burst': 40,
                    'keys': {'3f9a1c': {'digest': 'a' * 64, 'revoked': True}},
                },
            },
        },
    },
    'zones': {'Sfax': {'in_service': True}},
    'databases': {
        'label-core-1': {
            'slots': 2,
            'connections': 5,
            'endpoints': {
                'core-1-sfax': {
                    'zone': 'Sfax',
                    'address': '127.0.0.1:7001',
                    'in_service': True,
                },
            },
        },
    },
}


class FakeDaemon:
    """Operators' interface that puts changes into force at once."""

    def __init__(self) -> None:
        """Starts with version 7 in force on two hosts."""
        self.document = DOCUMENT
        self.version = 7
        self.behind: list[HostStatus] = []
        self.changes: list[ChangeSettings] = []
        self.refusal: ErrorCode | None = None
        self.lost_answers = 0
        self.port = 0

    async def handle(self, request: web.Request) -> web.Response:
        """Handles a request."""
        bearer = request.find_header('authorization')
        if bearer != f'Bearer {SECRET}':
            return self.refuse(ErrorCode.KEY_REFUSED)
        if request.method == 'POST':
            return self.change(web.read_json(ChangeSettings, request.body))
        answers: dict[str, Callable[[], Any]] = {
            '/settings': self.snapshot,
            '/hosts': self.hosts,
            '/events': lambda: Events(
                (AutomaticAct(event='failover', evidence='e\x1b[2J'),),
            ),
            '/dump': lambda: {'tasks': {}},
            '/requests/r%2F1': lambda: RequestTrace('r/1', 'sfax-1'),
        }
        path = request.path.partition('?')[0]
        if path == '/history':
            return web.Response(200, web.write_json(self.history(request)))
        if path not in answers:
            return web.Response(404)
        return web.Response(200, web.write_json(answers[path]()))

    def snapshot(self) -> SettingsShown:
        """Returns the settings in force."""
        document = json.dumps(self.document)
        return SettingsShown(
            SettingsSnapshot(
                'sfax-1', self.version, document, 1.5, 'amel', 'w'
            ),
            confirmed=True,
        )

    def hosts(self) -> HostsShown:
        """Returns an up-to-date host and those with an older version."""
        current = HostStatus(
            'sfax-1', 'Sfax', live=True, settings_version=self.version
        )
        return HostsShown((current, *self.behind))

    def history(self, request: web.Request) -> HistoryShown:
        """Returns the changes under the requested path."""
        path = url.unquote(request.path.partition('=')[2])
        assert path.startswith('teams')
        first = ChangeRecord(
            version=3, path='teams/labels', who='amel',
            content=json.dumps(DOCUMENT['teams']['labels']),
        )  # fmt: skip
        rate = ChangeRecord(
            version=5, path='teams/labels/workspaces/baguette/rate',
            who='ines', content='200',
        )  # fmt: skip
        old = first._replace(content='{}', version=2)
        return HistoryShown((rate, first._replace(version=4), first, old))

    def change(self, change: ChangeSettings) -> web.Response:
        """Applies a change."""
        if self.refusal is not None:
            return self.refuse(self.refusal)
        self.changes.append(change)
        self.version += 1
        self.document = documents.replace_at(
            self.document, change.path, json.loads(change.content)
        )
        if self.lost_answers:
            self.lost_answers -= 1
            raise anyio.EndOfStream
        answer = SettingsChanged(change.change_id, self.version)
        return web.Response(200, web.write_json(answer))

    def refuse(self, code: ErrorCode) -> web.Response:
        """Returns an error response."""
        refusal = errors.refuse(code, 'refused by the test')
        return web.Response(
            errors.ERROR_KINDS[code].status,
            web.write_json({'error': refusal}),
        )


async def serve(
    daemon: FakeDaemon,
    started: threading.Event,
    stop: anyio.Event,
) -> None:
    """Serves the fake until it is stopped."""
    server = web.HttpServer(daemon.handle, host='127.0.0.1', port=0)
    async with server:
        daemon.port = server.port
        started.set()
        await stop.wait()


@pytest.fixture
def daemon() -> Iterator[FakeDaemon]:
    """Returns a fake daemon that serves in a separate thread."""
    fake = FakeDaemon()
    with contextlib.ExitStack() as stack:
        portal = stack.enter_context(
            anyio.from_thread.start_blocking_portal('asyncio'),
        )
        stop = portal.call(anyio.Event)
        started = threading.Event()
        future = portal.start_task_soon(serve, fake, started, stop)
        assert started.wait(10)
        yield fake
        portal.call(stop.set)
        future.result(10)


@pytest.fixture
def secret_file(tmp_path: pathlib.Path) -> str:
    """Returns the path of a file with the operator secret."""
    path = tmp_path / 'secret'
    path.write_text(f'{SECRET}\n')
    return str(path)


class CommandRunner:
    """Runs command lines against the fake daemon."""

    def __init__(self, daemon: FakeDaemon, secret_file: str) -> None:
        """Stores the address of the daemon and the path of the secret."""
        self.at = f'127.0.0.1:{daemon.port}'
        self.secret_file = secret_file

    def __call__(self, *args: str) -> tuple[ExitStatus, str, str]:
        """Returns exit status, output and errors of a command."""
        context = create_context(
            POPLARSPOKE_AT=self.at,
            POPLARSPOKE_SECRET_FILE=self.secret_file,
        )
        status = core.run(args, context)
        text, report = read_output(context)
        assert SECRET not in text + report
        return status, text, report


@pytest.fixture
def run(daemon: FakeDaemon, secret_file: str) -> CommandRunner:
    """Returns a runner of command lines against the fake daemon."""
    return CommandRunner(daemon, secret_file)


@given(st.text().filter(lambda text: text not in {'-h', '--help'}))
def test_values_stay_text(value: str) -> None:
    """Guards against names such as 1e5, true or -x read as another type."""
    call = arguments.parse(['show', f'--path={value}'])
    assert call.command == definitions.Show(value)


@pytest.mark.parametrize('name', ['1e5', 'true', 'None', '[1]', "'a'", '-5'])
def test_positional_values_stay_text(name: str) -> None:
    """Guards against type guesses of the library: numbers, booleans, lists."""
    call = arguments.parse(['zone-out', name, '--why=1', '--who', 'None'])
    assert call.command == definitions.ZoneOut(name, 'None', '1')


def test_switch_does_not_take_the_next_word() -> None:
    """Guards against the library reading the path as the value of --json."""
    call = arguments.parse(['show', '--json', 'zones'])
    assert call == (definitions.Show('zones'), definitions.Options(json=True))


@pytest.mark.parametrize(
    'args',
    [
        ['show', '--', '--interactive'],
        ['show', 'a', 'b'],
        ['show', '--path'],
        ['daemon', 'a', 'b'],
    ],
)
def test_excess_arguments_are_refused(args: list[str]) -> None:
    """Guards against ignored arguments and the library's console."""
    with pytest.raises(arguments.UsageError):
        arguments.parse(args)


@pytest.mark.parametrize('definition', definitions.DEFINITIONS)
def test_help_and_example(definition: definitions.Definition) -> None:
    """Guards against help texts with an invalid example."""
    text = arguments.parse([definition.name, '--help']).command.text
    assert definition.example in text
    words = definition.example.replace("'", '').split()
    assert isinstance(arguments.parse(words).command, definition.command)


@pytest.mark.parametrize(
    ('args', 'expected'),
    [
        (['show', 'zones'], 'version 7 since 1970'),
        (['hosts'], 'sfax-1 in Sfax: version 7, live'),
        (['events'], r'failover : e\x1b[2J'),
        (['explain', 'r/1'], 'request r/1 on sfax-1'),
        (['dump'], '{"tasks": {}}'),
        (['history', 'teams'], 'rate = 200'),
        (['blame', 'teams'], 'rate = 200  [version 3'),
        (['blame', 'teams'], 'burst = 40  [version 3'),
    ],
)
def test_reading_commands(
    run: CommandRunner, args: list[str], expected: str
) -> None:
    """Guards against read commands that omit the daemon's answer."""
    status, text, report = run(*args)
    assert (status, report) == (ExitStatus.SUCCESS, '')
    assert expected in text
    assert '\x1b' not in text
    if args[0] != 'dump':
        for line in run(*args, '--json')[1].splitlines():
            assert json.loads(line)['kind']


def test_change_shows_difference_and_missing(
    run: CommandRunner,
    daemon: FakeDaemon,
) -> None:
    """Guards against success for a change that is not in force everywhere."""
    daemon.behind = [HostStatus('sousse-1', 'Sousse', settings_version=7)]
    path = 'teams/labels/workspaces/baguette/rate'
    status, text, _ = run('change', path, '250', *AUTHOR_OPTIONS)
    assert status is ExitStatus.NOT_IN_FORCE
    lines = text.splitlines()
    assert lines[0] == f'{path}: 200 -> 250'
    assert lines[1] == 'accepted as version 8'
    assert 'in force on 1 of 2 hosts' in lines[2]
    assert lines[3].startswith('missing: sousse-1')
    assert daemon.changes[0].base_version == 7


def test_repeated_change_changes_nothing(
    run: CommandRunner, daemon: FakeDaemon
) -> None:
    """Guards against a second change when a command is repeated."""
    for _ in range(2):
        status, text, _report = run('zone-out', 'Sfax', *AUTHOR_OPTIONS)
        assert status is ExitStatus.SUCCESS
    assert 'no difference' in text
    assert len(daemon.changes) == 1
    assert daemon.document['zones']['Sfax']['in_service'] is False


def test_lost_answer_is_retried_with_the_same_id(
    run: CommandRunner,
    daemon: FakeDaemon,
) -> None:
    """Guards against a second change when the answer to the first is lost."""
    daemon.lost_answers = 1
    status, _, report = run('zone-out', 'Sfax', *AUTHOR_OPTIONS)
    assert (status, report) == (ExitStatus.SUCCESS, '')
    first, second = daemon.changes
    assert first == second


def test_unanswered_change_prints_no_key(
    run: CommandRunner, daemon: FakeDaemon
) -> None:
    """Guards against printing a key whose digest may not be in force."""
    daemon.lost_answers = 9
    status, text, report = run('create-key', 'baguette', *AUTHOR_OPTIONS)
    assert status is ExitStatus.UNREACHABLE
    assert 'pk_' not in text
    assert 'it may be in force' in report


def test_same_proposal_has_same_change_id() -> None:
    """Guards the change id, by which the platform recognizes a retry."""
    step = documents.Step('a', {})
    proposal = changing.Proposal((step,), 'w', 'y', 0)
    ids = {
        changing._create_change(proposal, step, version).change_id
        for version in (7, 7, 8)
    }
    assert len(ids) == 2


@pytest.mark.parametrize(
    ('args', 'status', 'expected'),
    [
        (['zone-out', 'Sfxa'], ExitStatus.NOT_FOUND, "mean 'Sfax'"),
        (
            ['endpoint-out', 'core-1-sfxa'],
            ExitStatus.NOT_FOUND,
            "mean 'core-1-sfax'",
        ),
        (
            ['revoke-key', 'baguette', '3f9a1d'],
            ExitStatus.NOT_FOUND,
            "mean '3f9a1c'",
        ),
        (['create-key', 'bagel'], ExitStatus.NOT_FOUND, 'no workspace'),
        (['change', 'zones/a/in_service', '1'], ExitStatus.REFUSED, 'boolean'),
        (['change', 'tems', '{}'], ExitStatus.REFUSED, "mean 'teams'"),
        (['change', 'teams', 'null'], ExitStatus.REFUSED, 'no teams'),
    ],
)
def test_invalid_change_is_refused_before_it_is_sent(
    run: CommandRunner,
    daemon: FakeDaemon,
    args: list[str],
    status: ExitStatus,
    expected: str,
) -> None:
    """Guards against changes by a mistyped name, which gets a suggestion."""
    found, _, report = run(*args, *AUTHOR_OPTIONS)
    assert found is status
    assert expected in report
    assert not daemon.changes


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (ErrorCode.CONFLICT, ExitStatus.CONFLICT),
        (ErrorCode.FORBIDDEN, ExitStatus.REFUSED),
        (ErrorCode.STORE_UNAVAILABLE, ExitStatus.UNREACHABLE),
    ],
)
def test_refused_change_prints_no_key(
    run: CommandRunner,
    daemon: FakeDaemon,
    code: ErrorCode,
    status: ExitStatus,
) -> None:
    """Guards against printing a key that was not accepted."""
    daemon.refusal = code
    found, text, report = run('create-key', 'baguette', *AUTHOR_OPTIONS)
    assert found is status
    assert 'pk_' not in text
    assert errors.ERROR_KINDS[code].remedy in report


def test_key_is_printed_once_and_only_its_digest_sent(
    run: CommandRunner,
    daemon: FakeDaemon,
) -> None:
    """Guards against keys that others can read in document or history."""
    status, text, _ = run('create-key', 'baguette', *AUTHOR_OPTIONS)
    assert status is ExitStatus.SUCCESS
    key = text.partition('shown only now: ')[2].split()[0]
    assert text.count(key) == 1
    content = json.loads(daemon.changes[0].content)
    assert content['digest'] == hashlib.sha256(key.encode()).hexdigest()
    assert key.rpartition('_')[2] not in str(daemon.changes)


def test_apply_keeps_keys_and_is_idempotent(
    run: CommandRunner,
    daemon: FakeDaemon,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against files without keys that delete the keys in force."""
    expected = json.loads(json.dumps(DOCUMENT))
    workspace = expected['teams']['labels']['workspaces']['baguette']
    workspace.pop('keys')
    workspace['rate'] = 300
    directory = tmp_path / 'settings'
    directory.mkdir()
    (directory / 'all.yaml').write_text(json.dumps(expected))
    planned = run('apply', str(directory), '--plan', *AUTHOR_OPTIONS)
    assert planned[0] is ExitStatus.SUCCESS
    assert 'rate: 200 -> 300' in planned[1]
    assert not daemon.changes
    for _ in range(2):
        assert (
            run('apply', str(directory), *AUTHOR_OPTIONS)[0]
            is ExitStatus.SUCCESS
        )
    change = daemon.changes[0]
    assert len(daemon.changes) == 1
    assert (change.path, change.team) == ('teams/labels', 'labels')
    assert 'digest' in change.content


def test_apply_does_not_restore_a_revoked_key() -> None:
    """Guards against an old file that makes a revoked key valid again."""
    expected = json.loads(json.dumps(DOCUMENT))
    path = 'teams/labels/workspaces/baguette/keys'
    documents.find_at(expected, path)['3f9a1c']['revoked'] = False
    plan = documents.create_plan(DOCUMENT, expected)
    assert not plan.steps
    assert plan.kept == (f'{path}/3f9a1c/revoked',)


def test_wrong_secret_and_unreachable_daemon(
    run: CommandRunner, tmp_path: pathlib.Path
) -> None:
    """Guards against wrong exit statuses and reports without a remedy."""
    other = tmp_path / 'other'
    other.write_text('another secret')
    status, _, report = run('hosts', '--secret-file', str(other))
    assert status is ExitStatus.REFUSED
    status, _, report = run('hosts', '--at', '127.0.0.1:1')
    assert status is ExitStatus.UNREACHABLE
    assert 'check --at' in report


NAMES = st.sampled_from(('a', 'b', 'c'))
TREES = st.dictionaries(
    NAMES, st.one_of(st.integers(0, 2), st.dictionaries(NAMES, st.integers()))
)
SITES = st.fixed_dictionaries(
    {'teams': st.dictionaries(NAMES, st.dictionaries(NAMES, st.integers()))},
    optional={'zones': TREES, 'databases': TREES, 'hosts': TREES},
)


@given(SITES, SITES)
def test_plan_makes_documents_equal(before: Any, after: Any) -> None:
    """Guards against a plan that misses a difference to the files."""
    changed = before
    for step in documents.create_plan(before, after).steps:
        whole = step.path == '' and before == {'teams': {}}
        assert whole or bool(step.team) == step.path.startswith('teams/')
        changed = documents.replace_at(changed, step.path, step.content)
    assert changed == after


def test_plan_keeps_references_valid_at_each_step() -> None:
    """Guards against routes to a database that is missing at some step."""
    before = {
        'databases': {'old': {}},
        'teams': {'labels': {'workspaces': {'w': {'route': 'old'}}}},
    }
    after = {
        'databases': {'new': {}},
        'teams': {'labels': {'workspaces': {'w': {'route': 'new'}}}},
    }
    document: Any = before
    for step in documents.create_plan(before, after).steps:
        document = documents.replace_at(document, step.path, step.content)
        workspace = document['teams']['labels']['workspaces']['w']
        assert workspace['route'] in document['databases']
    assert document == after


@pytest.mark.parametrize(
    ('args', 'team'),
    [
        (['zone-out', 'Sfax'], ''),
        (['revoke-key', 'baguette', '3f9a1c'], 'labels'),
        (['create-key', 'baguette'], 'labels'),
        (['change', 'teams/labels/workspaces/baguette/rate', '9'], 'labels'),
        (['change', 'teams/other', '{}'], ''),
        (['create-key', 'baguette', '--team', 'tills'], 'tills'),
    ],
)
def test_team_of_a_change(args: list[str], team: str) -> None:
    """Guards against the wrong team, whose change would be forbidden."""
    call = arguments.parse([*args, *AUTHOR_OPTIONS])
    proposal = changing.propose(call.command, DOCUMENT, create_context())
    assert [step.team for step in proposal.steps] == [team]


def test_check_selects_the_schema_of_the_file(tmp_path: pathlib.Path) -> None:
    """Guards against checking a daemon's file by the other schema."""
    path = tmp_path / 'd.yaml'
    path.write_text('zone: Sfax\nsecrets: {}\n')
    context = create_context()
    assert core.run(['check', str(path)], context) is ExitStatus.REFUSED
    assert 'secrets' in read_output(context)[1]
    path.write_text('teams: {}\n')
    assert core.run(['check', str(path)], create_context()) is (
        ExitStatus.SUCCESS
    )


def test_printed_lines_hold_no_control_characters() -> None:
    """Guards against names that control the terminal."""
    stream = io.StringIO()
    output.Printer(stream, as_json=False).write_text('a\x1b]0;b\x07\u202e')
    assert stream.getvalue() == (r'a\x1b]0;b\x07\u202e' + '\n')


def test_value_type_follows_the_schema() -> None:
    """Guards against value types that are guessed from the text."""
    assert files.get_schema_type('hosts/h/zone') == 'string'
    assert documents.parse_value('hosts/h/zone', 'true') == 'true'
    assert documents.parse_value('zones/z/in_service', 'true') is True
