"""Normalisation of loads of upstreams with unequal speeds."""

import dataclasses
from collections import defaultdict

from papayatack.core.identity import IncarnationId
from papayatack.core.messages import LoadReport, ShardLoad
from papayatack.core.placement.view import PlacementView

__all__ = ["normalise_speeds"]

MIN_SPEED = 0.25
"""Lower bound on an upstream's estimated speed, relative to the mean."""

MAX_SPEED = 2.5
"""Upper bound on an upstream's estimated speed, relative to the mean."""


def normalise_speeds(view: PlacementView) -> PlacementView:
    """Return the view with loads in units of an upstream of mean speed.

    A slow upstream reports more time for the same requests, and its slots provide less
    capacity. Without normalisation, each move to a faster upstream would appear to
    reduce the total work.
    """
    reports = {report.incarnation: report for report in view.loads}
    means = _mean_service_times(view, reports)
    speeds: dict[IncarnationId, float] = {}
    for node in view.nodes:
        report = reports.get(node.lease.incarnation)
        mean_s = means.get(node.service, 0.0)
        if report is not None and report.service_s > 0 and mean_s > 0:
            speed = mean_s / report.service_s
            speeds[node.lease.incarnation] = min(max(speed, MIN_SPEED), MAX_SPEED)
    return dataclasses.replace(
        view,
        nodes=tuple(
            dataclasses.replace(
                node, speed=speeds.get(node.lease.incarnation, node.speed)
            )
            for node in view.nodes
        ),
        loads=tuple(
            _scale(report, speeds.get(report.incarnation, 1.0)) for report in view.loads
        ),
    )


def _mean_service_times(
    view: PlacementView, reports: dict[IncarnationId, LoadReport]
) -> dict[str, float]:
    """Return each service's mean request time, with equal weight per upstream."""
    times: dict[str, list[float]] = defaultdict(list)
    for node in view.nodes:
        report = reports.get(node.lease.incarnation)
        if report is not None and report.service_s > 0:
            times[node.service].append(report.service_s)
    return {service: sum(found) / len(found) for service, found in times.items()}


def _scale(report: LoadReport, speed: float) -> LoadReport:
    return dataclasses.replace(
        report,
        busy=report.busy * speed,
        shards=tuple(_scale_load(load, speed) for load in report.shards),
        hot_keys=tuple(_scale_load(load, speed) for load in report.hot_keys),
    )


def _scale_load(load: ShardLoad, speed: float) -> ShardLoad:
    return dataclasses.replace(load, busy=load.busy * speed)
