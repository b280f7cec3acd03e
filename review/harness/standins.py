"""Stand-ins of the platform, the members and the clients for the review.

They use the standard library only. The platform is the store and the promotion
call; a member keeps a log, replicates it and speaks the wire protocol; a path is
a TCP proxy that can be cut and healed again.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

LOOPBACK = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
# Figures of the site file of the claim.
TX_S = 0.004
PROMOTE_S = 0.3
REPLICATION_S = 0.0005
APPLY_S = 0.02
HANDSHAKE_S = 0.012
MAX_CONNECTIONS = 26
SLOTS = 2
QUEUE = 16
WORK_S = 0.0045
GRACE_S = 6
HISTORY_S = 20
# First retransmission of TCP on a short link.
RETRANSMIT_S = 0.2
_given_ports = set()
# In planned work the new member starts this long before the old one drains.
START_AHEAD_S = 1.0
# A draining member ends this long after its report (drainMs is 7 s).
DRAIN_S = 10.0


class Record:
    """What was sent, answered and run, one line each, with a common clock."""

    def __init__(self, path):
        self._lines = open(path, 'w', encoding='utf-8')
        self._start_s = time.monotonic()

    def now(self):
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, who, what):
        """Writes one line."""
        self._lines.write(f'{self.now():9.3f}  {who:<12} {what}\n')
        self._lines.flush()


def find_ports(count):
    """Returns ports of the loopback address that are free for TCP and UDP.

    They lie below the usual range of ports of outgoing connections, so that none
    takes a port before the process that it is for.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        if port in _given_ports:
            continue
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    return ports


class Store:
    """The metadata store and the promotion call, over HTTP/1.1.

    Attributes:
        orders: Promotion orders as (seconds, holder, token, service, id).
    """

    def __init__(self, record, promote):
        self.record = record
        self.orders = []
        self._promote = promote
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._start_s = time.monotonic()
        self._lock = asyncio.Lock()
        self._refused = set()

    async def start(self, machine=''):
        """Binds a listener, for one machine or all, and returns its port."""

        async def serve(reader, writer):
            await self._serve(reader, writer, machine)

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        return server.sockets[0].getsockname()[1]

    def refuse(self, machines):
        """Turns machines away with 503 and serves the others."""
        self._refused = set(machines)
        self._notify()

    def put(self, table, key, content):
        """Writes a row for the operator or a member; returns the version."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._version += 1
        self._store(table, '', key, value)
        self._notify()
        return self._version

    def remove(self, table, key):
        """Removes a row for the operator or a member."""
        self._version += 1
        self._drop(table, '', key)
        self._notify()

    async def _serve(self, reader, writer, machine):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, text = line.partition(':')
                    headers[name.strip().lower()] = text.strip()
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                if machine in self._refused:
                    status, answer = 503, {}
                else:
                    status, answer = await self._answer(
                        method, target, headers, body
                    )
                if machine in self._refused and method == 'GET':
                    status, answer = 503, {}
                payload = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(payload)}\r\n\r\n'.encode()
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == '/rows-get':
            await asyncio.sleep(TX_S)
            return 200, self._get(query)
        if url.path == '/rows-feed':
            return await self._feed(query)
        if url.path == '/rows-tx':
            async with self._lock:
                await asyncio.sleep(TX_S)
                return self._commit(json.loads(body))
        if url.path == '/promote':
            return await self._order(headers, json.loads(body))
        return 404, {}

    async def _order(self, headers, body):
        holder = headers['x-duty-holder']
        token = int(headers['x-fencing-token'])
        order = (self.record.now(), holder, token, body['service'], body['id'])
        self.orders.append(order)
        self.record.write(
            'platform',
            f'promote {body["id"]} of {body["service"]} by {holder} '
            f'token {token}',
        )
        status = await self._promote(body['service'], body['id'])
        self.record.write('platform', f'promote {body["id"]}: {status}')
        return status, {}

    def _get(self, query):
        low = query.get('from', '')
        high = query.get('to')
        rows = [
            row
            for row in self._rows.values()
            if row['table'] == query['table']
            and row['part'] == query.get('part', '')
            and 'tombstone' not in row
            and row['key'] >= low
            and (high is None or row['key'] < high)
        ]
        rows.sort(key=lambda row: row['key'])
        limit = int(query.get('limit', 500))
        return self._describe(rows[:limit], len(rows) > limit)

    async def _feed(self, query):
        after = int(query['after'])
        end_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            rows = [
                row
                for row in self._rows.values()
                if row['table'] == query['table'] and row['ver'] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['ver'])
                return 200, self._describe(rows, False)
            changed = self._changed
            refused = self._refused
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
            if self._refused is not refused:
                return 200, self._describe([], False)

    def _describe(self, rows, has_more):
        now_ms = int((time.monotonic() - self._start_s) * 1000)
        return {
            'rows': rows,
            'hasMore': has_more,
            'ver': self._version,
            'nowMs': now_ms,
        }

    def _commit(self, body):
        current = []
        holds = True
        for expected in body['expectedRev']:
            name = (expected['table'], expected['part'], expected['key'])
            row = self._rows.get(name)
            absent = {
                'table': name[0],
                'part': name[1],
                'key': name[2],
                'ver': 0,
            }
            if row is None or 'tombstone' in row:
                row = absent
            current.append(row)
            holds = holds and row['ver'] == expected['ver']
        if not holds:
            return 412, self._describe(current, False)
        self._version += 1
        for row in body['setKeys']:
            self._store(row['table'], row['part'], row['key'], row['value'])
        for row in body['deleteKeys']:
            self._drop(row['table'], row['part'], row['key'])
        self._notify()
        return 200, self._describe([], False)

    def _store(self, table, part, key, value):
        self._rows[table, part, key] = {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'ver': self._version,
        }

    def _drop(self, table, part, key):
        self._rows[table, part, key] = {
            'table': table,
            'part': part,
            'key': key,
            'ver': self._version,
            'tombstone': True,
        }

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


class Path:
    """A TCP path from one machine to one address, which can be cut.

    While it is cut, established connections hold their bytes in both directions.
    Bytes that their sender has not taken back by a reset are delivered with the
    first retransmission after the cut, as by TCP: 0.2 s after they were sent and
    then after twice the time. Connections that are opened during the cut get
    nothing through.
    """

    def __init__(self, record, name, port):
        self.record = record
        self.name = name
        self.on_request = None
        self._target = port
        self._healed = asyncio.Event()
        self._healed.set()

    async def start(self):
        """Binds the listener and returns its port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    def cut(self):
        """Cuts the path."""
        self._healed.clear()

    def heal(self):
        """Ends the cut."""
        self._healed.set()

    async def _serve(self, reader, writer):
        if not self._healed.is_set():
            # A connection that is opened during a cut carries nothing.
            await self._healed.wait()
            writer.transport.abort()
            return
        try:
            far = await asyncio.open_connection(LOOPBACK, self._target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, far[1], self.on_request),
            self._pump(far[0], writer, None),
        )

    async def _pump(self, reader, writer, observe):
        held = []
        was_reset = False
        while True:
            try:
                received = await reader.read(65536)
            except OSError:
                was_reset = True
                break
            if not received:
                break
            if observe is not None:
                observe(received)
            if self._healed.is_set() and not held:
                writer.write(received)
                continue
            held.append(received)
            # Reads on: a reset of the sender has to be seen.
            if len(held) == 1:
                asyncio.ensure_future(self._release(held, writer))
        if was_reset:
            if held:
                self.record.write(self.name, 'held bytes dropped: reset')
            held.clear()
            writer.transport.abort()
            return
        await self._healed.wait()
        await asyncio.sleep(0)
        while held:
            await asyncio.sleep(0.01)
        try:
            writer.close()
        except OSError:
            pass

    async def _release(self, held, writer):
        sent_s = time.monotonic()
        await self._healed.wait()
        timeout_s = RETRANSMIT_S
        while sent_s + timeout_s < time.monotonic():
            timeout_s = timeout_s * 2 + RETRANSMIT_S
        await asyncio.sleep(sent_s + timeout_s - time.monotonic())
        size = sum(len(part) for part in held)
        if held and not writer.is_closing():
            self.record.write(self.name, f'{size} held bytes delivered')
            for part in list(held):
                writer.write(part)
        held.clear()


class Entry:
    """A committed write in a member's log."""

    def __init__(self, term, number, item, content, request, committed):
        self.committed_s, self.member = committed
        self.term = term
        self.number = number
        self.item = item
        self.content = content
        self.request = request


class Group:
    """The members of one service and their replication.

    Attributes:
        acknowledged: Entries whose commit was answered with success, with the
            member that answered.
        rolled_back: Entries that a promotion has removed from a log.
        promotions: Promotions as (seconds, member, term).
        promoted_logs: Log of the promoted member at the time, by term.
    """

    def __init__(self, record, store_put, store_remove, service, *, sync):
        self.record = record
        self.service = service
        self.sync = sync
        self.members = {}
        self.acknowledged = []
        self.rolled_back = []
        self.promotions = []
        self.promoted_logs = {}
        self._put = store_put
        self._remove = store_remove

    def list_entries(self):
        """Returns all entries that any member has or had."""
        entries = set(self.rolled_back)
        for member in self.members.values():
            entries.update(member.log)
        return sorted(entries, key=lambda entry: entry.committed_s)

    def add(self, name, zone, role):
        """Adds a member and returns it."""
        member = Member(self, name, zone, role)
        self.members[name] = member
        return member

    async def release(self, name, new_name):
        """Replaces a member as planned work: the new one starts first."""
        old = self.members[name]
        new = self.add(new_name, old.zone, 'replica')
        await new.start()
        for other in self.members.values():
            if other.role == 'primary' and other.running:
                new.follow(other)
        self.record.write(new_name, f'starts in place of {name}')
        await asyncio.sleep(START_AHEAD_S)
        old.drain()
        asyncio.get_running_loop().call_later(DRAIN_S, self._end, old)

    def _end(self, member):
        if member.running:
            member.crash('ends after its drain')
        self._remove('servers', member.name)

    def report(self, member):
        """Writes the entry of a member into the list of members."""
        self._put('servers', member.name, member.describe())

    async def promote(self, name):
        """Carries out a promotion order; returns the HTTP status."""
        member = self.members.get(name)
        if member is None or not member.running:
            return 409
        term = max(one.newest_term for one in self.members.values())
        if member.role == 'primary' and member.term == term:
            return 200
        await asyncio.sleep(PROMOTE_S)
        term = max(one.newest_term for one in self.members.values()) + 1
        member.lead(term)
        self.promotions.append((self.record.now(), name, term))
        self.promoted_logs[term] = set(member.log)
        self.record.write(
            name, f'leads term {term} with log end {member.position()}'
        )
        asyncio.ensure_future(self._follow(member, term))
        self.report(member)
        return 200

    async def _follow(self, primary, term):
        """Makes the others replicas of a new primary."""
        for other in self.members.values():
            if other is not primary and other.role == 'replica':
                other.follow(primary)
        # The old primary steps down within a second after it reaches the new.
        await asyncio.sleep(0.8)
        for other in self.members.values():
            if other is primary or not other.running:
                continue
            if other.role == 'primary' and other.term < term:
                other.step_down(term)
                other.follow(primary)

    async def replicate(self, primary, entry):
        """Sends an entry to the replicas; returns once it may be answered."""
        await asyncio.sleep(REPLICATION_S)
        received = 0
        for other in self.members.values():
            if other is not primary and other.receive(primary, entry):
                received += 1
        while self.sync and not received:
            await asyncio.sleep(0.01)
            if not primary.running:
                return False
            for other in self.members.values():
                if other is not primary and entry in other.log:
                    received += 1
        return True


class Member:
    """One member: a log, a role, two slots and the wire protocol."""

    def __init__(self, group, name, zone, role):
        self.group = group
        self.name = name
        self.zone = zone
        self.role = role
        self.state = 'ready'
        self.running = True
        self.deaf = False
        self.term = 1 if role == 'primary' else 0
        self.newest_term = 1
        self.log_term = 1
        self.number = 0
        self.log = []
        self.received_s = {}
        self.runs = []
        # Log position that each read ran on, by request.
        self.read_positions = {}
        self._primary = None
        self._sequence = 1
        self._connections = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._server = None

    async def start(self):
        """Binds the listener and registers the member."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.group.report(self)

    def describe(self):
        """Returns the entry of the member."""
        self._sequence += 1
        return {
            'service': self.group.service,
            'address': f'{LOOPBACK}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
            'coldRemainingMs': 0,
            'dbRole': self.role,
            'seq': self._sequence,
            'born': 1700000000000,
        }

    def position(self):
        """Returns the end of the log as TERM.NUMBER."""
        return f'{self.log_term}.{self.number}'

    def count_applied(self):
        """Returns the number of the last entry that reads see."""
        if self.role == 'primary':
            return self.number
        applied = self.number
        limit_s = time.monotonic() - APPLY_S
        while self.received_s.get(applied, 0) > limit_s:
            applied -= 1
        return applied

    def applied_position(self):
        """Returns the position that reads see as TERM.NUMBER."""
        return f'{self.log_term}.{self.count_applied()}'

    def drain(self):
        """Reports that the member will leave; it goes on serving."""
        self.state = 'draining'
        self.group.record.write(self.name, 'reports draining')
        self.group.report(self)

    def crash(self, what='crashes'):
        """Stops answering at once and drops its connections."""
        self.running = False
        self.group.record.write(self.name, f'{what}, log {self.position()}')
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def come_back(self):
        """Starts again after a crash, with its log."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port
        )
        self.running = True
        self.group.record.write(self.name, f'is back, log {self.position()}')
        leaders = [
            other
            for other in self.group.members.values()
            if other.role == 'primary' and other.running and other is not self
        ]
        if leaders:
            self.role = 'replica'
            self.follow(max(leaders, key=lambda other: other.term))
        self.group.report(self)

    def lead(self, term):
        """Leads a term with the log that it has."""
        self.role = 'primary'
        self.term = term
        self.newest_term = term
        self.log_term = term
        self._primary = None

    def step_down(self, term):
        """Becomes a replica."""
        self.role = 'replica'
        self.newest_term = max(self.newest_term, term)
        self.group.record.write(self.name, f'steps down, term {term} is newer')
        self.group.report(self)

    def follow(self, primary):
        """Takes over the log of a new primary; later entries go."""
        if self.deaf or not self.running or not primary.running:
            return
        kept = [entry for entry in self.log if entry in primary.log]
        gone = [entry for entry in self.log if entry not in primary.log]
        for entry in gone:
            self.group.rolled_back.append(entry)
        self.log = kept + [entry for entry in primary.log if entry not in kept]
        self.number = primary.number
        self.log_term = primary.log_term
        self.newest_term = max(self.newest_term, primary.term)
        self._primary = primary

    def receive(self, primary, entry):
        """Receives an entry of a primary; False if it does not arrive."""
        if self.deaf or not self.running or self.role != 'replica':
            return False
        if primary.term < self.newest_term:
            return False
        if entry.number != self.number + 1:
            self.follow(primary)
            return entry in self.log
        self.log.append(entry)
        self.received_s[entry.number] = time.monotonic()
        self.number = entry.number
        self.log_term = entry.term
        return True

    def catch_up(self, primary):
        """Receives again after it was deaf."""
        self.deaf = False
        if primary.running:
            self.follow(primary)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        session = {'phase': 'I', 'writes': [], 'values': {}, 'prepared': {}}
        try:
            line = await self._read(reader)
            word, service, session['tenant'], *expected = line.split(' ')
            if service != self.group.service or expected[:1] not in (
                [],
                [self.name],
            ):
                writer.write(b'ERROR MISROUTED wrong member\r\n')
                return
            if len(self._connections) > MAX_CONNECTIONS:
                writer.write(b'ERROR TOOMANY full\r\n')
                return
            async with self._slots:
                await asyncio.sleep(HANDSHAKE_S)
            writer.write(f'READY I {self.applied_position()}\r\n'.encode())
            while True:
                line = await self._read(reader)
                if line == 'TERMINATE':
                    return
                _, request, text = line.split(' ', 2)
                lines = await self._run(session, request, text)
                ready = f'READY {session["phase"]} {self.applied_position()}'
                writer.write('\r\n'.join((*lines, ready, '')).encode())
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _read(self, reader):
        line = await reader.readuntil(b'\r\n')
        return line[:-2].decode('latin-1')

    async def _run(self, session, request, text):
        verb, _, fields = text.partition(' ')
        if verb == 'AFTER':
            position, _, text = fields.partition(' ')
            verb, _, fields = text.partition(' ')
            term, _, number = position.partition('.')
            if (self.log_term, self.count_applied()) < (int(term), int(number)):
                return ['ERROR LAGGING behind']
        if verb == 'EXECUTE':
            name, _, fields = fields.partition(' ')
            if name not in session['prepared']:
                return ['ERROR NOSTMT unknown name']
            verb = session['prepared'][name]
        handler = getattr(self, f'_do_{verb.lower()}', None)
        if handler is None:
            return ['ERROR MALFORMED unknown']
        if verb in {'READ', 'WRITE', 'COMMIT', 'STATUS'}:
            if self._waiting >= QUEUE:
                return ['ERROR BUSY full']
            self._waiting += 1
            async with self._slots:
                self._waiting -= 1
                if verb != 'STATUS':
                    await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
                return await handler(session, request, fields)
        return await handler(session, request, fields)

    async def _do_begin(self, session, request, fields):
        if fields != 'READ' and self.role != 'primary':
            return [f'ERROR READONLY {self.name}']
        session['phase'] = 'T'
        session['plain'] = fields != 'READ'
        return ['COMPLETE -']

    async def _do_read(self, session, request, fields):
        self.runs.append((self.group.record.now(), request, 'READ', fields))
        for item, content in reversed(session['writes']):
            if item == fields:
                return [f'ROW {content}', f'COMPLETE {self.name}.{request}']
        found = '-'
        applied = self.count_applied()
        self.read_positions[request] = (self.log_term, applied, self.name)
        for entry in self.log:
            if entry.item == fields and entry.number <= applied:
                found = entry.content
        return [f'ROW {found}', f'COMPLETE {self.name}.{request}']

    async def _do_write(self, session, request, fields):
        if self.role != 'primary':
            if session['phase'] == 'T':
                session['phase'] = 'E'
            return [f'ERROR READONLY {self.name}']
        item, _, content = fields.partition(' ')
        session['writes'].append((item, content))
        self.runs.append((self.group.record.now(), request, 'WRITE', fields))
        if session['phase'] == 'I':
            return await self._commit(session, request)
        return [f'COMPLETE {self.name}.{request}']

    async def _do_commit(self, session, request, fields):
        if session['phase'] == 'E':
            session['phase'] = 'I'
            session['writes'] = []
            return ['ERROR ABORTED rolled back']
        session['phase'] = 'I'
        self.runs.append((self.group.record.now(), request, 'COMMIT', ''))
        if session['writes'] and self.role != 'primary':
            session['writes'] = []
            return [f'ERROR READONLY {self.name}']
        return await self._commit(session, request)

    async def _commit(self, session, request):
        writes = session['writes']
        session['writes'] = []
        if not writes:
            return [f'COMPLETE {self.name}.{request}']
        entries = []
        for item, content in writes:
            self.number += 1
            committed = (self.group.record.now(), self.name)
            entry = Entry(
                self.term, self.number, item, content, request, committed
            )
            self.log.append(entry)
            entries.append(entry)
        self.log_term = self.term
        for entry in entries:
            if not await self.group.replicate(self, entry):
                raise OSError('crashed')
        if not self.running:
            raise OSError('crashed')
        for entry in entries:
            self.group.acknowledged.append((entry, self.name))
        return [f'COMPLETE {self.name}.{request}']

    async def _do_rollback(self, session, request, fields):
        session['phase'] = 'I'
        session['writes'] = []
        return ['COMPLETE -']

    async def _do_set(self, session, request, fields):
        name, _, content = fields.partition(' ')
        session['values'][name] = content
        return ['COMPLETE -']

    async def _do_prepare(self, session, request, fields):
        name, verb, _ = fields.split(' ', 2)
        session['prepared'][name] = verb
        return ['COMPLETE -']

    async def _do_dealloc(self, session, request, fields):
        session['prepared'].pop(fields, None)
        return ['COMPLETE -']

    async def _do_reset(self, session, request, fields):
        session['prepared'].clear()
        session['values'].clear()
        return ['COMPLETE -']

    async def _do_status(self, session, request, fields):
        return [f'ROW {self._describe_state()}', 'COMPLETE -']

    async def _do_demote(self, session, request, fields):
        term = int(fields)
        if self.role == 'primary' and self.term < term:
            self.step_down(term)
        return [f'ROW {self._describe_state()}', 'COMPLETE -']

    def _describe_state(self):
        busy = SLOTS - self._slots._value
        return (
            f'{self.role} {self.newest_term} {self.position()} '
            f'{self.log_term} 0 {busy} {len(self._connections)}'
        )


class Machines:
    """The project's daemons, one process for each machine.

    Attributes:
        ports: The address of each machine's clients, by name.
    """

    def __init__(self, record):
        self.record = record
        self.ports = {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._processes = {}
        self._ready_ports = {}
        self._settings = {}
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as source:
            roles = tomllib.load(source)['roles']
        self._command = next(iter(roles.values()))['run'].split(' ')
        self._role = next(iter(roles))

    def describe(self, machines, zones, store_port, cloud_port):
        """Creates the settings of all machines.

        Args:
            machines: Zone of each machine by its name.
            zones: Region of each zone.
            store_port: Port of the store for each machine.
            cloud_port: Port of the promotion call for each machine.
        """
        control = {}
        for name in machines:
            # The range of internal ports must be free for the machine.
            front, ready, listen, internal = find_ports(4)
            control[name] = (front, ready, listen, internal)
        seeds = [f'{LOOPBACK}:{ports[2]}' for ports in control.values()][:3]
        for name, zone in machines.items():
            front, ready, listen, internal = control[name]
            self.ports[name] = front
            self._ready_ports[name] = ready
            self._settings[name] = {
                'nodeName': name,
                'role': self._role,
                'machineClass': 'front',
                'serves': ['front', 'control'],
                'ip': LOOPBACK,
                'zone': zone,
                'region': zones[zone],
                'zones': zones,
                'listen': {
                    'front': f'{LOOPBACK}:{front}',
                    'ready': f'{LOOPBACK}:{ready}',
                    'control': f'{LOOPBACK}:{listen}',
                },
                'internalPorts': [internal, internal],
                'seeds': seeds,
                'bootstrap': True,
                'lossCounts': False,
                'limits': {
                    'cpuShare': 0.537,
                    'cores': 2,
                    'memoryMb': 300,
                    'maxFds': 4300,
                    'linkMbps': 1000.0,
                    'diskMb': 0,
                },
                'dataDir': None,
                'discovery': 'platform',
                'entry': 'virtual_ip',
                'heartbeatMs': 1200,
                'contracts': [
                    'base',
                    'drain',
                    'config',
                    'cost',
                    'recover',
                    'sql',
                    'tenants',
                    'quota',
                    'places',
                    'platform',
                ],
                'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
                'bounds': {
                    'seedLagS': 3,
                    'addrReuseS': 2,
                    'stableMs': 4000,
                    'ackMs': 5000,
                    'catchUpS': 4,
                    'drainMs': 7000,
                    'graceS': GRACE_S,
                    'lossSlackMs': 200,
                    'configApplyMs': 3000,
                    'revertSlackMs': 250,
                    'outerMs': 12000,
                    'revokeStrict': False,
                    'revokeMs': 5000,
                    'quotaWindowS': 5,
                    'quotaOver': 0.1,
                    'quotaSlack': 20,
                    'coldOver': 1.5,
                    'coldSlack': 5,
                    'evacuateMs': 5000,
                    'recoveryS': 12,
                    'fencingRequired': False,
                    'thawMs': 300,
                },
                'platform': {
                    'address': f'{LOOPBACK}:{store_port[name]}',
                    'form': 'table',
                    'writesPerS': 400,
                    'readsPerS': 2000,
                    'txMs': 4.0,
                    'partitionWritesS': 250,
                    'rowBytes': 65536,
                    'across': True,
                    'historyS': HISTORY_S,
                    'blobBytes': 8388608,
                    'blobMs': 25.0,
                    'blobMbS': 80.0,
                },
                'cloud': {
                    'address': f'{LOOPBACK}:{cloud_port[name]}',
                    'ratePerS': 50.0,
                    'duties': ['promote'],
                    'dutyPerS': 50.0,
                },
            }

    def set_seeds(self, name, seeds):
        """Changes the seeds that a machine finds at its next start.

        Args:
            name: The machine.
            seeds: Machines; a name that isn't one stands for one that is gone.
        """
        self._settings[name]['seeds'] = [
            self._settings[seed]['listen']['control']
            if seed in self._settings
            else f'{LOOPBACK}:{find_ports(1)[0]}'
            for seed in seeds
        ]

    async def start(self, name):
        """Starts the daemon of a machine with the deploy file's command."""
        path = self._folder / f'{name}.yaml'
        path.write_text(json.dumps(self._settings[name]), encoding='utf-8')
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['POPLARSPOKE_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(self._folder / f'{name}.log', 'ab')
        self._processes[name] = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(name, 'started')

    def send_signal(self, name, number):
        """Sends a signal to the process of a machine."""
        process = self._processes[name]
        self.record.write(name, f'signal {signal.Signals(number).name}')
        process.send_signal(number)

    async def restart(self, name, delay_s):
        """Kills the process of a machine and starts it again."""
        self.send_signal(name, signal.SIGKILL)
        await self._processes[name].wait()
        await asyncio.sleep(delay_s)
        await self.start(name)

    def list_ended(self):
        """Returns the machines whose process has ended by itself."""
        return [
            name
            for name, process in self._processes.items()
            if process.returncode is not None
        ]

    def read_log(self, name):
        """Returns what the process of a machine has written."""
        return (self._folder / f'{name}.log').read_text(errors='replace')

    async def wait_ready(self, timeout_s=25):
        """Waits until all machines answer the readiness probe with 200."""
        end_s = time.monotonic() + timeout_s
        for name in self._processes:
            while not await self.probe(name):
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def probe(self, name):
        """Returns whether a machine is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                LOOPBACK, self._ready_ports[name]
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            return b' 200 ' in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def end(self):
        """Ends all processes and removes the folder."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        for process in self._processes.values():
            await process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


class Client:
    """A session of a client."""

    def __init__(self, record, name, port, database, key):
        self.record = record
        self.name = name
        self._port = port
        self._database = database
        self._key = key
        self._reader = None
        self._writer = None

    async def open(self):
        """Connects and starts the session; returns the answer."""
        self._reader, self._writer = await asyncio.open_connection(
            LOOPBACK, self._port
        )
        self._writer.write(f'START {self._database} {self._key}\r\n'.encode())
        return await asyncio.wait_for(self._read_line(), 2)

    async def send(self, text, timeout_s=4, *, quiet=False):
        """Sends a statement; returns (word, detail, rows, phase)."""
        request = os.urandom(8).hex()
        sent_s = self.record.now()
        self.last = (request, sent_s)
        self._writer.write(f'QUERY {request} {text}\r\n'.encode())
        rows = []
        word = ''
        detail = ''
        try:
            while True:
                line = await asyncio.wait_for(self._read_line(), timeout_s)
                kind, _, rest = line.partition(' ')
                if kind == 'ROW':
                    rows.append(rest)
                elif kind == 'COMPLETE':
                    word, detail = 'DONE', rest
                elif kind == 'ERROR':
                    word, _, detail = rest.partition(' ')
                elif kind == 'READY':
                    phase = rest.partition(' ')[0]
                    break
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            word, detail, phase = 'BROKEN', type(exc).__name__, '?'
        if not quiet:
            self.record.write(
                self.name,
                f'{request} {text!r} sent {sent_s:.3f}: {word} {detail} '
                f'{" ".join(rows)} {phase}',
            )
        return word, detail, rows, phase

    async def _read_line(self):
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode('latin-1')

    def close(self):
        """Closes the session."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


async def keep_writing(record, name, port, database, key, prefix, stop):
    """Writes one item after the other and returns the acknowledged ones.

    After an error or a lost session it connects again and goes on with the next
    item, so each item is sent once.
    """
    client = Client(record, name, port, database, key)
    is_open = False
    acknowledged = []
    number = 0
    while not stop.is_set():
        await asyncio.sleep(0.025)
        try:
            if not is_open:
                is_open = (await client.open()).startswith('READY')
                if not is_open:
                    client.close()
                    await asyncio.sleep(0.2)
                    continue
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            client.close()
            await asyncio.sleep(0.2)
            continue
        number += 1
        item = f'{prefix}{number}'
        word, _, _, phase = await client.send(f'WRITE {item} v{number}')
        if word == 'DONE':
            acknowledged.append((record.now(), item))
        elif phase != 'I':
            client.close()
            is_open = False
    client.close()
    return acknowledged


def create_configuration(version, service, *, sync, keys, route_type='primary'):
    """Returns a configuration with one route, one service and one tenant."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-1',
                'host': 'lepu270',
                'prefix': '/',
                'routeType': route_type,
                'timeoutMs': 800,
                'targetLatencyMs': 120,
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
                'public': False,
            },
        ],
        'services': [
            {
                'name': service,
                'healthPath': '/health',
                'maxConns': MAX_CONNECTIONS,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
                'syncReplicas': sync,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            'txIdleMs': 3000,
        },
        'tenants': [
            {
                'name': 'nypu920',
                'apiKeys': list(keys),
                'priority': 1,
                'ratePerS': 400,
                'burst': 400,
            },
        ],
    }


def has_trouble():
    """Returns whether the case runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, folder, limit_s=110):
    """Runs a case and exits with its result.

    Args:
        case: Coroutine function that gets the record and returns 0, 1 or 2.
        folder: Folder of the case.
        limit_s: Time after which the case could not run.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    if not (ROOT / 'target' / 'deps').is_dir():
        record.write('case', 'target/deps is missing: run the build first')
        sys.exit(2)

    async def limited():
        try:
            return await asyncio.wait_for(case(record), limit_s)
        except TimeoutError:
            record.write('case', 'did not end in time')
            return 2

    try:
        status = asyncio.run(limited())
    except Exception as exc:
        record.write('case', f'could not run: {type(exc).__name__}: {exc}')
        status = 2
    record.write('case', f'exit status {status}')
    sys.exit(status)
