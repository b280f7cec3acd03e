"""Fields of the settings by the contract that they come with.

The platform lists the parts of its rules that are in force, its contracts. A
field of a contract that is not in force may be absent.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from poplarspoke import errors
from poplarspoke.generated.common import ErrorCode

# Contracts without which a host cannot serve: processes and sessions, members
# that are databases, and the metadata store.
REQUIRED = frozenset(('base', 'sql', 'platform'))
DRAIN = 'drain'
EVACUATION = 'places'
KEYS = 'tenants'
RATES = 'quota'
DUTIES = 'leader'


class ContractError(errors.PoplarspokeError):
    """A field of a contract in force is absent or invalid."""

    code = ErrorCode.SETTINGS_REFUSED


class Contracts(NamedTuple):
    """Contracts in force.

    Attributes:
        names: Their names; unknown ones have no effect.
        bounds: Their figures by field.
    """

    names: frozenset[str]
    bounds: Mapping[str, Any]

    def holds(self, contract: str) -> bool:
        """Returns whether a contract is in force."""
        return contract in self.names

    def read_bound(
        self,
        field: str,
        contract: str,
        *,
        absent: float = 0,
    ) -> float:
        """Returns the figure of a bound.

        Args:
            field: Name of the bound.
            contract: Contract that the bound comes with.
            absent: Figure that stands for no such bound.

        Raises:
            ContractError: The contract is in force and the bound is absent or
                not a number.
        """
        if not self.holds(contract):
            return absent
        found = self.bounds.get(field)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise ContractError(
                f'bounds.{field}: a number is needed, because the contract '
                f'"{contract}" is in force; found {found!r}',
            )
        return float(found)


def read_contracts(fields: Mapping[str, Any]) -> Contracts:
    """Returns the contracts that the settings name.

    Raises:
        KeyError: The settings have no bounds.
        ContractError: The list is absent, or lacks a required contract.
    """
    bounds = fields['bounds']
    found = fields.get('contracts')
    if not isinstance(found, list):
        raise ContractError('contracts: a list of names is needed')
    names = frozenset(map(str, found))
    missing = sorted(REQUIRED - names)
    if missing:
        raise ContractError(
            f'contracts: {", ".join(missing)} must be in force for a host '
            'to serve sessions',
        )
    return Contracts(names, bounds)
