"""The story of one caller's request, from its key to its answer."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import anyio

from poplarspoke import errors, retries, routing, sessions, tokens
from poplarspoke.context import Context
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal
from poplarspoke.generated.dispatch import PlanStatement, StatementPlan
from poplarspoke.generated.keys import CheckKey, KeyRefused
from poplarspoke.generated.rates import AdmitRequest, Admitted
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    Repeat,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.routing import RouteQuery
from poplarspoke.generated.sessions import Session
from poplarspoke.tasks import Mesh
