"""Declarations of the commands.

Each command is a ``NamedTuple``: fields without a default are required, and
``Definition.positional`` lists the fields that are positional arguments.
"""

from typing import Any, NamedTuple

IN_FORCE_WAIT_S = '16'


class Options(NamedTuple):
    """Options that every command accepts."""

    at: str = ''
    secret_file: str = ''
    json: bool = False


class Daemon(NamedTuple):
    """Runs the proxy daemon of this host until it is told to stop."""

    file: str


class Demo(NamedTuple):
    """Shows the system at work on this machine, with stand-ins."""


class Check(NamedTuple):
    """Checks a file, a directory of settings or a platform's configuration."""

    file: str
    against: str = ''
    store: str = ''
    settings: str = ''
    statement_ms: str = ''


class Show(NamedTuple):
    """Shows the settings in force, since when, by whose change and why."""

    path: str = ''


class History(NamedTuple):
    """Lists the changes under a path, the newest first."""

    path: str


class Blame(NamedTuple):
    """Shows who last changed each value under a path, when and why."""

    path: str


class Change(NamedTuple):
    """Changes one value after it has shown the difference."""

    path: str
    value: str
    who: str
    why: str
    team: str = ''
    wait: str = IN_FORCE_WAIT_S


class Apply(NamedTuple):
    """Makes what is in force equal to the files; safe to repeat."""

    directory: str
    who: str
    why: str
    team: str = ''
    plan: bool = False
    wait: str = IN_FORCE_WAIT_S


class CreateWorkspace(NamedTuple):
    """Creates a workspace of a team with its rate and burst."""

    workspace: str
    team: str
    rate: str
    burst: str
    who: str
    why: str
    wait: str = IN_FORCE_WAIT_S


class CreateKey(NamedTuple):
    """Creates a key and shows it once; only its digest is sent."""

    workspace: str
    who: str
    why: str
    team: str = ''
    wait: str = IN_FORCE_WAIT_S


class RevokeKey(NamedTuple):
    """Revokes a key, also for callers that are connected."""

    workspace: str
    key_id: str
    who: str
    why: str
    team: str = ''
    wait: str = IN_FORCE_WAIT_S


class ZoneOut(NamedTuple):
    """Takes an availability zone out of service."""

    zone: str
    who: str
    why: str
    wait: str = IN_FORCE_WAIT_S


class ZoneIn(NamedTuple):
    """Puts an availability zone back into service."""

    zone: str
    who: str
    why: str
    wait: str = IN_FORCE_WAIT_S


class EndpointOut(NamedTuple):
    """Takes an endpoint out of service."""

    endpoint: str
    who: str
    why: str
    wait: str = IN_FORCE_WAIT_S


class EndpointIn(NamedTuple):
    """Puts an endpoint back into service."""

    endpoint: str
    who: str
    why: str
    wait: str = IN_FORCE_WAIT_S


class Hosts(NamedTuple):
    """Lists the hosts and the settings version in force on each."""


class Events(NamedTuple):
    """Lists recent automatic acts with their evidence."""


class Explain(NamedTuple):
    """Shows how the asked host handled a recent request."""

    request_id: str


class Dump(NamedTuple):
    """Prints the state of every task of the asked host, without secrets."""


class Definition(NamedTuple):
    """A command of the program.

    Attributes:
        name: Name on the command line.
        command: Type whose fields are the arguments.
        positional: Positional arguments in their order.
        example: Valid command line for the help text.
        lean: Whether to parse without ``fire``, which would take another 1.2
            to 1.3 MB of memory in a daemon.
    """

    name: str
    command: Any
    positional: tuple[str, ...]
    example: str
    lean: bool = False


AUTHOR_OPTIONS = "--who ines --why 'TICKET-7'"
DEFINITIONS = (
    Definition(
        'daemon',
        Daemon,
        ('file',),
        'daemon examples/daemon.yaml',
        lean=True,
    ),
    Definition('demo', Demo, (), 'demo'),
    Definition('check', Check, ('file',), 'check examples/tn-east.yaml'),
    Definition('show', Show, ('path',), 'show teams/large-makers --json'),
    Definition('history', History, ('path',), 'history zones/Sfax'),
    Definition('blame', Blame, ('path',), 'blame teams/large-makers'),
    Definition(
        'change',
        Change,
        ('path', 'value'),
        f'change teams/large-makers/workspaces/baguette/rate 250 {AUTHOR_OPTIONS}',
    ),
    Definition(
        'apply',
        Apply,
        ('directory',),
        f'apply settings/ {AUTHOR_OPTIONS} --plan',
    ),
    Definition(
        'create-workspace',
        CreateWorkspace,
        ('workspace',),
        f'create-workspace lablabi --team small-makers --rate 20 --burst 30 {AUTHOR_OPTIONS}',
    ),
    Definition(
        'create-key',
        CreateKey,
        ('workspace',),
        f'create-key baguette {AUTHOR_OPTIONS}',
    ),
    Definition(
        'revoke-key',
        RevokeKey,
        ('workspace', 'key_id'),
        f'revoke-key baguette 3f9a1c {AUTHOR_OPTIONS}',
    ),
    Definition(
        'zone-out', ZoneOut, ('zone',), f'zone-out Sfax {AUTHOR_OPTIONS}'
    ),
    Definition('zone-in', ZoneIn, ('zone',), f'zone-in Sfax {AUTHOR_OPTIONS}'),
    Definition(
        'endpoint-out',
        EndpointOut,
        ('endpoint',),
        f'endpoint-out label-core-1-sfax {AUTHOR_OPTIONS}',
    ),
    Definition(
        'endpoint-in',
        EndpointIn,
        ('endpoint',),
        f'endpoint-in label-core-1-sfax {AUTHOR_OPTIONS}',
    ),
    Definition('hosts', Hosts, (), 'hosts'),
    Definition('events', Events, (), 'events --json'),
    Definition('explain', Explain, ('request_id',), 'explain 8d2e'),
    Definition('dump', Dump, (), 'dump'),
)

ARGUMENT_HELP: dict[str, str] = {
    'at': 'IP:port of a daemon for operators; else POPLARSPOKE_AT',
    'secret_file': 'file with the operator secret; else POPLARSPOKE_SECRET_FILE',
    'json': 'print JSON for programs',
    'file': 'YAML file, or for "check" also a directory or a JSON file',
    'against': 'JSON file of the version to compare with, such as the one in force',
    'store': 'IP:port of the metadata store whose version and endpoints count',
    'settings': "settings file of a host; names the deployment's contracts",
    'statement_ms': 'mean time of a statement, for the capacity; else 1',
    'path': 'path in the settings document, such as zones/Sfax',
    'value': 'new value; null removes the path',
    'who': 'who makes the change',
    'why': 'reason of the change; it is kept in the history',
    'team': 'team that makes the change; else the one in the path',
    'wait': 'seconds to wait until the change is in force on all hosts',
    'directory': 'directory of YAML files under version control',
    'plan': 'print what would be changed and stop',
    'workspace': 'name of the workspace',
    'rate': 'requests a second over all hosts',
    'burst': 'requests that may come at once over all hosts',
    'key_id': 'id of the key, the part between pk_ and the next _',
    'zone': 'name of the availability zone',
    'endpoint': 'name of the endpoint',
    'request_id': 'id from the answer to the caller or from its log',
}
