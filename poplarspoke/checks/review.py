"""All checks of a configuration."""

from poplarspoke.checks import limits, matching
from poplarspoke.checks.findings import Deployment, Finding
from poplarspoke.generated.rules import Ruleset

CHECKS = matching.CHECKS + limits.CHECKS


def list_findings(ruleset: Ruleset, deployment: Deployment) -> list[Finding]:
    """Returns the findings in a configuration that hosts accept.

    Args:
        ruleset: Configuration.
        deployment: Deployment that it is for.
    """
    return [
        finding for check in CHECKS for finding in check(ruleset, deployment)
    ]
