"""Plans of the dispatcher: a statement with its endpoint and its owner."""

from poplarspoke import errors, placement, routing, sessions
from poplarspoke.generated.common import ErrorCode, Position
from poplarspoke.generated.dispatch import (
    PlanStatement,
    StatementPlan,
)
from poplarspoke.generated.drains import EndpointWeight
from poplarspoke.generated.membership import (
    EndpointView,
)
from poplarspoke.generated.requests import Repeat, Statement
from poplarspoke.generated.routing import (
    Candidate,
    RouteChoice,
    RouteQuery,
    RouteReason,
)
from poplarspoke.generated.sessions import Session
from poplarspoke.generated.settings import Route
from poplarspoke.placement import DispatchState, Primary
from poplarspoke.tasks import Reply

REPLICA_REASONS = frozenset(
    (
        RouteReason.OWN_ZONE_REPLICA,
        RouteReason.OTHER_ZONE_REPLICA,
        RouteReason.LIKELY_REPLICA,
    ),
)
REPEAT_RULES = {
    'safe': Repeat.SAFE,
    'recorded': Repeat.RECORDED,
    'never': Repeat.NEVER,
}


def plan_statement(
    message: PlanStatement,
    route: Route,
    state: DispatchState,
    now_s: float,
) -> Reply:
    """Returns the reply with a plan: an endpoint, a wait or a refusal.

    Args:
        message: Request for a plan.
        route: Route of the request from the settings.
        state: State of the dispatcher.
        now_s: Monotonic clock in seconds.
    """
    query = _build_query(message, route, state)
    candidates = _list_candidates(route['database'], state, now_s)
    choice = routing.choose(query, candidates)
    plan = StatementPlan(
        statement=_build_statement(message, route, query, choice),
        choice=choice,
        settings_version=state['version'],
    )
    if choice.endpoint or choice.wait_s:
        term = placement.find_primary(state, route['database']).term
        return Reply(
            message.request_id,
            plan._replace(
                statement=plan.statement._replace(term=term),
                owner=placement.find_owner(choice.endpoint, state),
            ),
        )
    refusal = errors.refuse(
        ErrorCode.NO_ENDPOINT,
        f'no endpoint of {route["database"]} can serve the route: '
        f'{_explain_skipped(choice)}',
    )
    # The plan keeps the statement, since the retry rules need to know whether
    # it is a write.
    return Reply(
        message.request_id,
        plan._replace(refused=True, refusal=refusal),
    )


def _build_statement(
    message: PlanStatement,
    route: Route,
    query: RouteQuery,
    choice: RouteChoice,
) -> Statement:
    return Statement(
        request_id=message.request_id,
        workspace=message.workspace,
        route=message.route,
        database=route['database'],
        write=query.write,
        repeat=REPEAT_RULES[route['repeat']],
        minimum=query.required,
        max_age_s=query.max_age_s,
        endpoint=choice.endpoint,
        confirm=choice.confirm or query.write,
        replica=choice.reason in REPLICA_REASONS,
    )


def _build_query(
    message: PlanStatement,
    route: Route,
    state: DispatchState,
) -> RouteQuery:
    session = Session(message.positions, message.overflowed)
    database = route['database']
    max_age_s = sessions.limit_age(
        session,
        database,
        route.get('max_age_s', 0),
    )
    return RouteQuery(
        write=route['write'] or message.transactional,
        max_age_s=max_age_s,
        required=sessions.find_position(message.positions, database),
        zone=state['zone'],
        waited_s=message.waited_s,
        draw=state['rng'].random(),
        primary_only=message.primary_only,
    )


def _list_candidates(
    database: str,
    state: DispatchState,
    now_s: float,
) -> tuple[Candidate, ...]:
    primary = placement.find_primary(state, database)
    candidates: list[Candidate] = []
    for endpoint in state['endpoints'].get(database, ()):
        place = state['places'][endpoint]
        view = _find_view(endpoint, primary, state, now_s)
        default = EndpointWeight(endpoint, place.database, 1)
        weight = state['weights'].get(endpoint, default).weight
        candidates.append(
            Candidate(
                view=view,
                zone=place.zone,
                in_service=weight > 0 and place.in_service,
                returned_ago_s=routing.invert_ramp(weight),
            ),
        )
    return tuple(candidates)


def _find_view(
    endpoint: str,
    primary: Primary,
    state: DispatchState,
    now_s: float,
) -> EndpointView:
    """Returns the latest view, with its present age and the known primary.

    If the view of the primary is from an earlier term, its last position gets
    the term of the primary.
    """
    unknown = placement.Observation(EndpointView(endpoint=endpoint), now_s)
    known = state['observations'].get(endpoint, unknown)
    observed_ago_s = now_s - known.at_s
    is_valid = observed_ago_s < placement.MAX_VIEW_AGE_S
    view = known.view._replace(
        observed_ago_s=observed_ago_s,
        reachable=known.view.reachable and is_valid,
        primary=endpoint == primary.endpoint,
    )
    if view.primary and view.last.term < primary.term:
        return view._replace(last=Position(primary.term, view.last.position))
    return view


def _explain_skipped(choice: RouteChoice) -> str:
    reasons = [
        f'{entry.endpoint} {entry.reason.name.lower()}'
        for entry in choice.passed
    ]
    return ', '.join(reasons) or 'no endpoint is known'
