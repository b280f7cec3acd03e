"""Guards the translation of callers' HTTP requests and answers."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from poplarspoke import callers, codec, errors, web
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    TransactionStep,
)

pytestmark = pytest.mark.anyio
PATH = '/v1/requests'


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the back end that the daemons use."""
    return 'asyncio'


def parse(
    path: str = PATH,
    body: bytes = b'',
    **headers: str,
) -> CallerRequest:
    """Returns the message of a POST; ``_`` in a header means ``-``."""
    return read_headers(headers, path, body)


def read_headers(
    headers: dict[str, str],
    path: str = PATH,
    body: bytes = b'',
) -> CallerRequest:
    """Returns the message of a POST with some headers."""
    fields = tuple(
        web.Header(name.replace('_', '-'), text)
        for name, text in headers.items()
    )
    return callers.parse_request(web.Request('POST', path, fields, body))


def test_request_keeps_what_the_caller_sent() -> None:
    """A header that is lost would run a request without its session."""
    body = b'{"route": "r", "statement": "GET ?", "parameters": ["a"]}'
    request = parse(
        body=body,
        authorization='Bearer pk_1_2',
        poplarspoke_workspace='w1',
        poplarspoke_session='token',
        idempotency_key='id-1',
        poplarspoke_deadline_ms='250',
    )
    assert request == CallerRequest(
        request_id='id-1',
        key='pk_1_2',
        session_token='token',
        workspace='w1',
        route='r',
        text='GET ?',
        parameters=('a',),
        budget_s=0.25,
    )


def test_paths_give_steps() -> None:
    """A commit that is taken for a rollback would lose the writes."""
    path = '/v1/transactions'
    begun = parse(path)
    assert (begun.step, begun.transaction) == (TransactionStep.BEGIN, '')
    for verb, step in callers.STEPS.items():
        ended = parse(f'{path}/h~1~2/{verb}')
        assert (ended.step, ended.transaction) == (step, 'h~1~2')
    inside = parse(body=b'{"transaction": "h~1~2"}')
    assert inside.step is TransactionStep.INSIDE


@pytest.mark.parametrize(
    'path',
    ['/', '/v1', '/v1/transactions/', '/v1/transactions/x', '/x/v1/requests'],
)
def test_unknown_path_is_refused(path: str) -> None:
    """A path that is guessed could run another request than was meant."""
    with pytest.raises(callers.UnknownPathError):
        parse(path)


@pytest.mark.parametrize('text', ['0', '-1', '1.5', 'x', '60001', '٣'])
def test_deadline_is_bounded(text: str) -> None:
    """A deadline without bound would hold a slot for ever."""
    with pytest.raises(callers.BadRequestError):
        parse(poplarspoke_deadline_ms=text)


def test_missing_request_ids_differ() -> None:
    """A default that is the same would take one write for another's repeat."""
    assert parse().request_id != parse().request_id


@pytest.mark.parametrize(
    'header',
    ['idempotency_key', 'poplarspoke_workspace'],
)
def test_long_or_foreign_names_are_refused(header: str) -> None:
    """Names end in logs and metrics, so they are bounded."""
    for text in ('x' * 129, 'é'):
        with pytest.raises(callers.BadRequestError):
            read_headers({header: text})


def test_other_scheme_is_refused() -> None:
    """Credentials of another scheme must not be taken for a key."""
    with pytest.raises(callers.BadRequestError):
        parse(authorization='Basic abc')


@hypothesis.given(strategies.binary(max_size=64))
def test_any_body_is_read_or_refused(body: bytes) -> None:
    """A body that raises anything else would end as an internal error."""
    try:
        parse(body=body)
    except (codec.FormatError, errors.PoplarspokeError):
        return


async def test_refused_input_never_reaches_the_proxy() -> None:
    """A request that cannot be read must say that it was not run."""
    seen: list[CallerRequest] = []

    async def handle(request: CallerRequest) -> CallerAnswer:
        seen.append(request)
        return CallerAnswer(request_id=request.request_id)

    front = callers.CallerFront(handle, 'h1')
    response = await front.handle(web.Request('POST', PATH, body=b'{'))
    assert response.status == 400
    assert json.loads(response.body)['error']['outcome'] == 'not_run'
    assert not seen
    response = await front.handle(web.Request('POST', PATH, body=b'{}'))
    assert response.status == 200
    assert seen[0].request_id == json.loads(response.body)['request_id']


def test_refusal_names_code_outcome_and_delay() -> None:
    """A caller decides by these fields whether to repeat."""
    refusal = errors.refuse(
        ErrorCode.RATE_EXCEEDED,
        'over the rate',
        retry_after_s=0.2,
    )
    answer = CallerAnswer(
        refused=True,
        refusal=refusal,
        session_token='token',
    )
    response = callers.render_answer(answer)
    assert response.status == 429
    assert response.find_header('retry-after') == '1'
    assert response.find_header('poplarspoke-session') == 'token'
    error = json.loads(response.body)['error']
    assert error['code'] == 'rate_exceeded'
    assert error['outcome'] == 'not_run'
    assert error['retry_after_s'] > 0
