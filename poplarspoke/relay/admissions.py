"""Tokens of the rate limit that single operations spend and give back."""

from poplarspoke import buckets
from poplarspoke.relay import quotas
from poplarspoke.relay.state import Operation, RelayState


def admit_operation(
    state: RelayState, operation: Operation, now_s: float
) -> bool:
    """Takes one token for an operation; returns False if there is none."""
    workspace = operation['workspace']
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return False
    buckets.refill(bucket, now_s)
    until_s = buckets.find_expiry(bucket)
    if not quotas.admit(state, workspace, now_s):
        return False
    operation['token_until_s'] = until_s
    return True


def return_token(state: RelayState, operation: Operation, now_s: float) -> None:
    """Returns the token of an operation that no endpoint has received.

    While a primary is out of reach, callers that are refused and retry would
    otherwise exhaust the rate of their workspace.
    """
    until_s = operation['token_until_s']
    bucket = state['buckets'].get(operation['workspace'])
    if bucket is None or not until_s:
        return
    operation['token_until_s'] = 0
    buckets.refill(bucket, now_s)
    buckets.give_back(bucket, until_s)
