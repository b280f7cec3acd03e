"""Guards the parsing of callers' HTTP requests and the rendered answers."""

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
    """Runs the tests on the event loop that the daemons use."""
    return 'asyncio'


def parse(
    path: str = PATH,
    body: bytes = b'',
    **headers: str,
) -> CallerRequest:
    """Returns the message of a POST; ``_`` in a header means ``-``."""
    return parse_headers(headers, path, body)


def parse_headers(
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


def test_parsed_request_has_all_fields() -> None:
    """A header that is ignored would run a request without its session."""
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


def test_path_selects_step() -> None:
    """A commit that is parsed as a rollback would lose the writes."""
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
    """A lenient match of paths could run another request than was sent."""
    with pytest.raises(callers.UnknownPathError):
        parse(path)


@pytest.mark.parametrize('text', ['0', '-1', '1.5', 'x', '60001', '٣'])
def test_deadline_is_bounded(text: str) -> None:
    """A request without a bounded deadline could hold a slot forever."""
    with pytest.raises(callers.BadRequestError):
        parse(poplarspoke_deadline_ms=text)


def test_missing_request_ids_differ() -> None:
    """With a constant default id, a write would be taken for a retry."""
    assert parse().request_id != parse().request_id


@pytest.mark.parametrize(
    'header',
    ['idempotency_key', 'poplarspoke_workspace'],
)
def test_long_or_non_ascii_names_are_refused(header: str) -> None:
    """Names are bounded, since they are written to logs and metrics."""
    for text in ('x' * 129, 'é'):
        with pytest.raises(callers.BadRequestError):
            parse_headers({header: text})


def test_other_authorization_scheme_is_refused() -> None:
    """Credentials of another scheme must not be used as a key."""
    with pytest.raises(callers.BadRequestError):
        parse(authorization='Basic abc')


@hypothesis.given(strategies.binary(max_size=64))
def test_any_body_is_parsed_or_refused(body: bytes) -> None:
    """An unexpected exception would be answered as an internal error."""
    try:
        parse(body=body)
    except (codec.FormatError, errors.PoplarspokeError):
        return


async def test_invalid_request_never_reaches_the_proxy() -> None:
    """The answer to an invalid request must say that it was not run."""
    handled: list[CallerRequest] = []

    async def handle(request: CallerRequest) -> CallerAnswer:
        handled.append(request)
        return CallerAnswer(request_id=request.request_id)

    front = callers.CallerInterface(handle, 'h1')
    response = await front.handle(web.Request('POST', PATH, body=b'{'))
    assert response.status == 400
    assert json.loads(response.body)['error']['outcome'] == 'not_run'
    assert not handled
    response = await front.handle(web.Request('POST', PATH, body=b'{}'))
    assert response.status == 200
    assert handled[0].request_id == json.loads(response.body)['request_id']


def test_refusal_names_code_outcome_and_delay() -> None:
    """A caller decides by these fields whether to retry."""
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
