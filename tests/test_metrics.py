"""Guards against missed updates and unlimited label values."""

import pytest

from poplarspoke import metrics as metric
from poplarspoke.generated import operators
from poplarspoke.generated.common import ErrorCode
from poplarspoke.tasks import Reply

COUNTED = (
    (operators.ReadCounted(replica=True), 'reads_total{role="replica"} 1.0'),
    (
        operators.FailoverCounted('d', 1.5, drain=True),
        'failover_gap_seconds_sum{reason="drain"} 1.5',
    ),
    (
        operators.AdmissionCounted('w', admitted=True),
        'admitted_total{workspace="w"} 1.0',
    ),
    (
        operators.AdmissionCounted('w', admitted=False, wrongful=True),
        'wrongful_refused_total{workspace="w"} 1.0',
    ),
    (
        operators.QueueTimeCounted('w', 0.03),
        'queue_wait_seconds_bucket{le="0.05",workspace="w"} 1.0',
    ),
    (
        operators.ServiceCounted('Sfax', 'w', True, ErrorCode.OVERLOADED),
        'answers_total{code="overloaded",zone="Sfax"} 1.0',
    ),
    (
        operators.ConnectionsObserved('e', 5, 2),
        'connections{endpoint="e",state="busy"} 2.0',
    ),
    (operators.CallersObserved(9), 'caller_connections 9.0'),
    (operators.LeaseObserved('w', 4), 'leased_rate{workspace="w"} 4.0'),
    (operators.SettingsObserved(12, 0.5), 'settings_version 12.0'),
)


@pytest.mark.parametrize(('message', 'line'), COUNTED)
def test_message_updates_its_metric(message: object, line: str) -> None:
    """Guards against a message that updates no metric or the wrong one."""
    metrics = metric.create_metrics()
    metric.record(message, metrics)
    assert f'poplarspoke_{line}\n' in metric.render(metrics).decode()


def test_task_replies_with_its_metrics() -> None:
    """Guards the reply from which GET /metrics is served."""
    metrics = metric.create_metrics()
    assert metric.decide(operators.CallersObserved(9), metrics, 1) == []
    reply = metric.decide(operators.ShowMetrics('r1'), metrics, 1)[0]
    assert isinstance(reply, Reply)
    assert reply.request_id == 'r1'
    assert 'poplarspoke_caller_connections 9.0' in reply.message.text


def test_unknown_message_is_an_error() -> None:
    """Guards against a new message type without a metric."""
    with pytest.raises(TypeError):
        metric.record('text', metric.create_metrics())


def test_daemons_do_not_share_metrics() -> None:
    """Guards against the default registry, which a process shares."""
    first = metric.create_metrics()
    metric.record(operators.CallersObserved(9), first)
    rendered = metric.render(metric.create_metrics()).decode()
    assert 'poplarspoke_caller_connections 0.0' in rendered


def test_label_values_are_limited() -> None:
    """Guards against memory growth with each new workspace."""
    metrics = metric.create_metrics()
    for number in range(metric.MAX_WORKSPACES + 50):
        message = operators.AdmissionCounted(f'w{number}', admitted=True)
        metric.record(message, metrics)
    rendered = metric.render(metrics).decode()
    assert rendered.count('admitted_total{') == metric.MAX_WORKSPACES + 1
    assert 'admitted_total{workspace="other"} 50.0' in rendered
