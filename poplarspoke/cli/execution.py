"""Runs the commands by their types."""

import functools
import importlib
from typing import Any, NamedTuple

import anyio

from poplarspoke import context as contexts
from poplarspoke import files
from poplarspoke.cli import changing, definitions, documents, output
from poplarspoke.cli.arguments import Call, Help
from poplarspoke.cli.client import Client, CommandError, find_access, quote
from poplarspoke.context import Context
from poplarspoke.generated.configuration import (
    HistoryShown,
    SettingsShown,
    SettingsSnapshot,
)
from poplarspoke.generated.membership import HostsShown
from poplarspoke.generated.operators import Events, RequestTrace
from poplarspoke.status import ExitStatus


class Dependencies(NamedTuple):
    """Dependencies of a command that queries a daemon."""

    client: Client
    printer: output.Printer
    context: Context


def run(call: Call, context: Context) -> ExitStatus:
    """Runs a command.

    Args:
        call: The command and the common options.
        context: Clock, random source, streams and log.
    """
    printer = output.Printer(context.stdout, as_json=call.options.json)
    return execute(call.command, call.options, printer, context)


@functools.singledispatch
def execute(
    command: Any,
    options: definitions.Options,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    """Runs a command; by default it queries a daemon."""
    access = find_access(options, context)
    return anyio.run(_query_daemon, command, access, printer, context)


@execute.register
def _(
    command: Help,
    options: definitions.Options,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    printer.write_text(command.text)
    return ExitStatus.SUCCESS


@execute.register
def _(
    command: definitions.Daemon,
    options: definitions.Options,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    settings = files.load_daemon(command.file)
    daemon = importlib.import_module('poplarspoke.daemon')
    status = daemon.run(contexts.add_settings(context, settings))
    return ExitStatus(status or 0)


@execute.register
def _(
    command: definitions.Demo,
    options: definitions.Options,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    demo = importlib.import_module('poplarspoke.demo')
    return ExitStatus(demo.run(context) or 0)


@execute.register
def _(
    command: definitions.Check,
    options: definitions.Options,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    checking = importlib.import_module('poplarspoke.cli.checking')
    status: ExitStatus = checking.check(command, printer)
    return status


async def _query_daemon(
    command: Any,
    access: Any,
    printer: output.Printer,
    context: Context,
) -> ExitStatus:
    async with Client(access) as client:
        status: ExitStatus = await query(
            command,
            Dependencies(client, printer, context),
        )
        return status


@functools.singledispatch
async def query(command: Any, dependencies: Dependencies) -> ExitStatus:
    """Runs a command that queries a daemon; by default it changes settings."""
    snapshot = await _fetch_snapshot(dependencies)
    document = changing.read_document(snapshot)
    proposals = changing.propose(command, document, dependencies.context)
    return await changing.submit(
        proposals,
        snapshot,
        dependencies.client,
        dependencies.printer,
        dependencies.context,
    )


@query.register
async def _(
    command: definitions.Show, dependencies: Dependencies
) -> ExitStatus:
    snapshot = await _fetch_snapshot(dependencies)
    document = changing.read_document(snapshot)
    content = documents.find_at(document, command.path)
    _check_found(content, command.path)
    dependencies.printer.write(
        output.Shown(
            version=snapshot.version,
            accepted_at_s=snapshot.accepted_at_s,
            who=snapshot.who,
            why=snapshot.why,
            path=command.path,
            content=content,
        ),
    )
    return ExitStatus.SUCCESS


@query.register
async def _(
    command: definitions.History, dependencies: Dependencies
) -> ExitStatus:
    dependencies.printer.write(await _fetch_history(command.path, dependencies))
    return ExitStatus.SUCCESS


@query.register
async def _(
    command: definitions.Blame, dependencies: Dependencies
) -> ExitStatus:
    snapshot = await _fetch_snapshot(dependencies)
    document = changing.read_document(snapshot)
    _check_found(documents.find_at(document, command.path), command.path)
    history = await _fetch_history(command.path, dependencies)
    found = documents.find_blame(document, command.path, history.changes)
    dependencies.printer.write(output.Blamed(tuple(found)))
    return ExitStatus.SUCCESS


@query.register
async def _(
    command: definitions.Hosts, dependencies: Dependencies
) -> ExitStatus:
    dependencies.printer.write(
        await dependencies.client.fetch(HostsShown, '/hosts')
    )
    return ExitStatus.SUCCESS


@query.register
async def _(
    command: definitions.Events, dependencies: Dependencies
) -> ExitStatus:
    dependencies.printer.write(
        await dependencies.client.fetch(Events, '/events')
    )
    return ExitStatus.SUCCESS


@query.register
async def _(
    command: definitions.Explain, dependencies: Dependencies
) -> ExitStatus:
    path = f'/requests/{quote(command.request_id)}'
    dependencies.printer.write(
        await dependencies.client.fetch(RequestTrace, path)
    )
    return ExitStatus.SUCCESS


@query.register
async def _(
    command: definitions.Dump, dependencies: Dependencies
) -> ExitStatus:
    body = await dependencies.client.fetch_bytes('/dump')
    dependencies.printer.write_text(body.decode(errors='replace'))
    return ExitStatus.SUCCESS


async def _fetch_snapshot(dependencies: Dependencies) -> SettingsSnapshot:
    shown = await dependencies.client.fetch(SettingsShown, '/settings')
    return shown.snapshot


async def _fetch_history(path: str, dependencies: Dependencies) -> HistoryShown:
    return await dependencies.client.fetch(
        HistoryShown, f'/history?path={quote(path)}'
    )


def _check_found(content: Any, path: str) -> None:
    if content is None:
        raise CommandError(
            f'nothing is set at {path!r}; list the settings with "show"',
            ExitStatus.NOT_FOUND,
        )
