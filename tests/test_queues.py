"""Guards against starved workspaces and wrong refusals."""

import itertools
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench import queues as comparison
from poplarspoke import queues
from poplarspoke.generated.common import ErrorCode, Outcome, Tick
from poplarspoke.generated.queues import (
    Cancel,
    Enqueue,
    Finish,
    SetSlots,
    SlotGranted,
    SlotRefused,
)

workspaces = st.sampled_from(['deli', 'bakery', 'kiosk'])


def measure_p99(queue: comparison.Fifo | comparison.Fair) -> float:
    """Returns the worst p99 wait in seconds of the modest workspaces."""
    rates = {
        **comparison.MODEST_RATES,
        comparison.GREEDY: comparison.GREEDY_RATE,
    }
    waits = comparison.simulate(queue, comparison.create_arrivals(rates))
    assert len(waits[comparison.GREEDY]) > 2000
    return max(
        comparison.quantile(waits[workspace], 0.99)
        for workspace in comparison.MODEST_RATES
    )


def test_greedy_workspace_does_not_delay_others() -> None:
    """Guards against FIFO order, in which all wait for the greedy workspace."""
    fair_s = measure_p99(comparison.Fair())
    assert fair_s < 8 * comparison.SERVICE_S
    assert measure_p99(comparison.Fifo()) > 100 * fair_s


def test_slow_statements_are_charged_by_time() -> None:
    """Guards against a queue that counts statements, not their slot time."""
    state = queues.create_state('endpoint', 1)
    for number in range(40):
        for workspace in ('slow', 'quick'):
            attempt = f'{workspace}-{number}'
            queues.decide(Enqueue(attempt, workspace, 100), state, 0)
    now_s: float = 0
    served = {'slow': 0, 'quick': 0}
    while now_s < 3:
        request_id, running = next(iter(state['running'].items()))
        now_s += 0.1 if running.workspace == 'slow' else 0.01
        served[running.workspace] += 1
        queues.decide(Finish(request_id), state, now_s)
        if not state['accounts']['quick']['waiting']:
            break
    assert served['quick'] >= 5 * served['slow']


def test_unreachable_deadline_is_refused_on_arrival() -> None:
    """Guards against statements that wait although they must time out."""
    state = queues.create_state('endpoint', 1)
    for number in range(10):
        queues.decide(Enqueue(str(number), 'deli', 9), state, 0)
    reply = queues.decide(Enqueue('late', 'deli', 0.05), state, 0)[0]
    assert isinstance(reply.message, SlotRefused)
    assert reply.message.refusal.code is ErrorCode.OVERLOADED
    assert reply.message.refusal.outcome is Outcome.NOT_RUN
    assert reply.message.refusal.retry_after_s > 0


def test_one_slow_statement_causes_no_refusals() -> None:
    """Guards against refusals after one statement waited long for a lock."""
    state = queues.create_state('endpoint', 1)
    queues.decide(Enqueue('locked', 'deli', 60), state, 0)
    queues.decide(Enqueue('next', 'deli', 60), state, 50)
    queues.decide(Enqueue('third', 'deli', 60), state, 50)
    queues.decide(Finish('locked'), state, 50)
    reply = queues.decide(Enqueue('last', 'deli', 0.5), state, 50)
    assert not reply


def test_idle_time_saves_bounded_credit() -> None:
    """Guards against a workspace that takes every slot after it was idle."""
    state = queues.create_state('endpoint', 1)
    for number in range(500):
        queues.decide(Enqueue(f'busy-{number}', 'busy', 9), state, number)
        queues.decide(Finish(f'busy-{number}'), state, number + 1)
    for number in range(queues.MAX_WAITING):
        queues.decide(Enqueue(f'idle-{number}', 'idle', 900), state, 500)
    queues.decide(Enqueue('busy', 'busy', 900), state, 500)
    served = 0
    while 'busy' not in state['running']:
        served += 1
        running = next(iter(state['running']))
        queues.decide(Finish(running), state, 500 + served)
    assert served <= 4


def test_slot_is_reclaimed_after_lost_finish() -> None:
    """Guards against a slot that stays occupied after a dropped message."""
    state = queues.create_state('endpoint', 1)
    queues.decide(Enqueue('lost', 'deli', 1), state, 0)
    queues.decide(Enqueue('next', 'deli', 9), state, 0)
    assert not queues.decide(Tick(), state, 1.5)
    reply = queues.decide(Tick(), state, 2.1)[0]
    assert isinstance(reply.message, SlotGranted)


def test_repeated_attempt_is_not_called_not_run() -> None:
    """Guards against "not run" for an attempt that has a slot (R10)."""
    state = queues.create_state('endpoint', 1)
    queues.decide(Enqueue('same', 'deli', 1), state, 0)
    reply: Any = queues.decide(Enqueue('same', 'deli', 1), state, 0)[0]
    assert reply.message.refusal.outcome is Outcome.UNKNOWN


class QueueMachine(RuleBasedStateMachine):
    """Any sequence of arrivals, ends, cancellations and slot changes."""

    def __init__(self) -> None:
        """Starts with an empty queue."""
        super().__init__()
        self.state = queues.create_state('endpoint')
        self.now_s: float = 0
        self.numbers = itertools.count()
        self.waiting: list[tuple[str, str, float]] = []
        self.running: list[str] = []

    def send(self, message: Any) -> None:
        """Sends a message and checks each reply against the model."""
        reply: Any
        for reply in queues.decide(message, self.state, self.now_s):
            entry = next(
                entry for entry in self.waiting if entry[0] == reply.request_id
            )
            self.waiting.remove(entry)
            if isinstance(reply.message, SlotRefused):
                assert reply.message.refusal.outcome is Outcome.NOT_RUN
                continue
            assert isinstance(reply.message, SlotGranted)
            assert entry[2] > self.now_s
            assert all(
                int(other[0]) > int(entry[0])
                for other in self.waiting
                if other[1] == entry[1] and other[2] > self.now_s
            )
            self.running.append(reply.request_id)
        self.running = [
            request_id
            for request_id in self.running
            if request_id in self.state['running']
        ]

    @rule(
        workspace=workspaces,
        budget_s=st.sampled_from([0, 0.01, 0.5, 30]),
        count=st.sampled_from([1, 3, 70]),
    )
    def arrive(self, workspace: str, budget_s: float, count: int) -> None:
        """Statements of one workspace arrive."""
        for _ in range(count):
            request_id = str(next(self.numbers))
            deadline_s = self.now_s + budget_s
            self.waiting.append((request_id, workspace, deadline_s))
            self.send(Enqueue(request_id, workspace, budget_s))

    @rule(index=st.integers(0, 9), wait_s=st.sampled_from([0, 0.01, 0.3]))
    def finish(self, index: int, wait_s: float) -> None:
        """A running statement ends."""
        self.now_s += wait_s
        if not self.running:
            return
        request_id = self.running.pop(index % len(self.running))
        self.send(Finish(request_id))

    @rule(index=st.integers(0, 99))
    def cancel(self, index: int) -> None:
        """A caller disconnects; its statement gets no slot afterwards."""
        if not self.waiting:
            return
        entry = self.waiting.pop(index % len(self.waiting))
        self.send(Cancel(entry[0]))

    @rule(wait_s=st.sampled_from([0, 0.4, 31, 70]))
    def tick(self, wait_s: float) -> None:
        """Time passes."""
        self.now_s += wait_s
        self.send(Tick())
        assert all(entry[2] > self.now_s for entry in self.waiting)

    @rule(slots=st.integers(1, 3))
    def set_slots(self, slots: int) -> None:
        """The settings change the number of slots."""
        self.send(SetSlots(slots))

    @invariant()
    def check_against_model(self) -> None:
        """Guards against lost statements and an unbounded queue."""
        assert set(self.state['running']) == set(self.running)
        known = {entry[0] for entry in self.waiting}
        assert set(self.state['waiting']) == known
        for account in self.state['accounts'].values():
            assert len(account['waiting']) <= queues.MAX_WAITING
        slots_held = [
            entry['running'] for entry in self.state['accounts'].values()
        ]
        assert sum(slots_held) == len(self.running)


QueueMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
)
TestQueue = QueueMachine.TestCase
