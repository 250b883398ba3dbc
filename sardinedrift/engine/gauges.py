"""Gauges of a controller: its pools, client accounts and term."""

import heapq

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.demand import measure_demand
from sardinedrift.engine.fleet import Fleet
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.teamuse import TeamUse

# Only the client accounts nearest to a limit are shown, so that a scrape stays
# small with hundreds of accounts.
MAX_TEAMS = 50
UPDATE_INTERVAL_S = 5.0


def update(control: ControllerState, metrics: Metrics) -> None:
    """Sets the gauges of a controller."""
    metrics.gauges.labels("control_age_seconds").set(control.term.age)
    _update_pools(control, metrics)
    update_evacuations(control.fleet, metrics)
    update_teams(control.team_use, metrics)


def clear(metrics: Metrics) -> None:
    """Removes the gauges of a controller after its term."""
    metrics.gauges.labels("control_age_seconds").set(0)
    metrics.pool_gauges.clear()
    metrics.evacuation_gauges.clear()
    metrics.team_gauges.clear()
    metrics.reserved_idle_cpu.clear()


def _update_pools(control: ControllerState, metrics: Metrics) -> None:
    metrics.pool_gauges.clear()
    for pool_id, workers in control.fleet.by_pool().items():
        gauge = metrics.pool_gauges.labels
        gauge(pool_id, "workers").set(len(workers))
        cpu = sum(worker.registered.capacity.cpu for worker in workers)
        gauge(pool_id, "cpu").set(cpu)
        free = sum(max(0, worker.free.cpu) for worker in workers)
        gauge(pool_id, "free_cpu").set(free)
    demand_by_pool = measure_demand(
        control.job_by_id.values(), control.policies(), control.clock.unix_ms()
    )
    for pool_id, demand in demand_by_pool.items():
        metrics.pool_gauges.labels(pool_id, "demand_cpu").set(demand.cpu)


def update_evacuations(fleet: Fleet, metrics: Metrics) -> None:
    """Sets the gauges of the data centres that are being evacuated."""
    metrics.evacuation_gauges.clear()
    for data_centre_id in fleet.evacuated:
        workers = fleet.of_data_centre(data_centre_id)
        gauge = metrics.evacuation_gauges.labels
        gauge(data_centre_id, "workers").set(len(workers))
        runs = sum(len(worker.run_by_task) for worker in workers)
        gauge(data_centre_id, "runs").set(runs)
        free = sum(max(0, worker.free.cpu) for worker in workers)
        gauge(data_centre_id, "free_cpu").set(free)


def update_teams(use: TeamUse, metrics: Metrics) -> None:
    """Sets the gauges of the client accounts nearest to a limit."""
    metrics.team_gauges.clear()
    nearest = heapq.nlargest(
        MAX_TEAMS, use.shares(), key=lambda share: share.limit_utilisation
    )
    for share in nearest:
        gauge = metrics.team_gauges.labels
        gauge(share.team_id, "cpu").set(share.cpu)
        gauge(share.team_id, "limit_cpu").set(share.limit_cpu)
        gauge(share.team_id, "of_limit").set(share.limit_utilisation)
