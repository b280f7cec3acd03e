"""State of load balancing: reported loads, speeds of endpoints, spilling."""

from typing import NamedTuple, TypedDict

from poplarspoke.generated.rules import HostSettings


class ReportedLoad(NamedTuple):
    """Statements of another host at one endpoint.

    Attributes:
        running: When the report was sent.
        mean: Moving average when the report was sent.
        measured_s: When the report was sent, on this host's boot clock.
        interval_s: Time between two reports of that host.
    """

    running: float
    mean: float
    measured_s: float
    interval_s: float


class Sender(NamedTuple):
    """Another host that reports its load.

    Attributes:
        incarnation: Identifies the run of its process.
        sent_s: When it sent its last report, on its own clock.
        heard_s: When that report was received.
        offset_s: Smallest difference between the receipt of a report and the
            clock of the sender, which is the difference of the clocks plus the
            shortest delay.
        endpoints: Digests of the endpoints in its last report.
    """

    incarnation: int
    sent_s: float
    heard_s: float
    offset_s: float
    endpoints: tuple[int, ...]


class Spill(NamedTuple):
    """Reads of a service that leave their region.

    Attributes:
        share: Fraction of the reads, between 0 and 1.
        updated_s: When the fraction was last decided.
    """

    share: float
    updated_s: float


class Speed(NamedTuple):
    """Speed of an endpoint as this host observes it.

    Attributes:
        pace: Latency of its statements in relation to the usual one of the
            same route, corrected for the host's own load; 1 is usual.
        failing: Fraction of the statements that failed.
        updated_s: When both were updated; later they decay.
    """

    pace: float
    failing: float
    updated_s: float


class LoadState(TypedDict):
    """What a host knows about the load and speed of endpoints.

    Attributes:
        others: Loads that other hosts reported, by digest of the endpoint's
            name and by sender.
        senders: Hosts that have reported their load.
        means: Moving averages of this host's own statements by endpoint.
        sampled_s: When these were updated.
        next_report_s: When the next report is due.
        choosers: Other hosts that choose endpoints of a service; absent if
            not known since the hosts or the configuration have changed.
        shared: Whether the load of a service's endpoints is shared, by
            service; absent if not known since the configuration has changed.
        usual_s: Usual latency without waiting, by route and whether the
            statement may be repeated.
        speeds: Speeds of the endpoints that this host has used.
        spills: Reads that leave their region, by service.
        own_region: Region of this host.
        regions: Region of each zone that the settings name.
        openings_s: Shortest time of opening a connection, by region.
    """

    others: dict[int, dict[str, ReportedLoad]]
    senders: dict[str, Sender]
    means: dict[str, float]
    sampled_s: float
    next_report_s: float
    choosers: dict[str, tuple[str, ...]]
    shared: dict[str, bool]
    usual_s: dict[tuple[str, bool], float]
    speeds: dict[str, Speed]
    spills: dict[str, Spill]
    own_region: str
    regions: dict[str, str]
    openings_s: dict[str, float]


def create_loads(settings: HostSettings) -> LoadState:
    """Returns the state of a host that knows nothing about loads."""
    regions = {known.zone: known.region for known in settings.zone_regions}
    return LoadState(
        others={},
        senders={},
        means={},
        sampled_s=0,
        next_report_s=0,
        choosers={},
        shared={},
        usual_s={},
        speeds={},
        spills={},
        own_region=regions.get(settings.zone, settings.region),
        regions=regions,
        openings_s={},
    )
