"""What is run: arrivals, and faults switched on while they come."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bench.workload import Stream
from tests.cluster import Cluster

BURST_FROM = 0.4
BURST_UNTIL = 0.6
BURST_RATE = 4.0

Fault = Callable[[Cluster], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """One run.

    :ivar faults: what goes wrong, by the part of the duration after which it does.
    :ivar document: parts of the configuration that differ from the defaults.
    :ivar domain: the only failure domain whose entries callers reach; all if not given.
    """

    name: str
    streams: list[Stream]
    duration_s: float = 20.0
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    document: dict = field(default_factory=dict)
    domain: str = ""


def steady(load: float) -> Scenario:
    """Two tenants at an even load."""
    streams = [
        Stream(tenant="school", share=load / 2),
        Stream(tenant="station", share=load / 2),
    ]
    return Scenario(name=f"steady-{round(load * 100)}", streams=streams)


def burst() -> Scenario:
    """Bursts before the hour, well above what the workers can do, all of it urgent."""

    def rate(at_s: float) -> float:
        return BURST_RATE if BURST_FROM * 20 < at_s < BURST_UNTIL * 20 else 1.0

    streams = [
        Stream(tenant="school", share=0.25, rate=rate),
        Stream(tenant="station", share=0.25, rate=rate),
    ]
    return Scenario(name="burst", streams=streams)


def flood() -> Scenario:
    """One tenant asks for three times what there is, the other for little."""
    streams = [
        Stream(tenant="school", share=0.2),
        Stream(tenant="flooder", share=3.0),
    ]
    return Scenario(name="flood", streams=streams)


def one_domain_burst(name: str, *, spill: bool) -> Scenario:
    """Bursts of 1.6 times what one domain's workers can do, while the other domain idles."""

    def rate(at_s: float) -> float:
        return BURST_RATE if BURST_FROM * 20 < at_s < BURST_UNTIL * 20 else 1.0

    streams = [
        Stream(tenant="school", share=0.1, rate=rate),
        Stream(tenant="station", share=0.1, rate=rate),
    ]
    document = {"pools": {"braille": {"spill": spill}}}
    return Scenario(name=name, streams=streams, document=document, domain="kariakoo")


def no_flood() -> Scenario:
    """What the tenant of the flood that does not flood has when it is alone."""
    return Scenario(name="no-flood", streams=flood().streams[:1])


def with_fault(name: str, fault: Fault, *, load: float = 0.5) -> Scenario:
    """Even load with one fault after a third of the run."""
    return Scenario(name=name, streams=steady(load).streams, faults=[(0.33, fault)])


async def kill_entry(cluster: Cluster) -> None:
    """Kill one entry."""
    await cluster.live_entries()[0].kill()


async def kill_worker(cluster: Cluster) -> None:
    """Kill one worker."""
    await next(iter(cluster.worker_by_vm.values())).kill()


async def fail_worker(cluster: Cluster) -> None:
    """Make one worker fail all that it starts."""
    await cluster.control(next(iter(cluster.worker_by_vm.values())), fail_all=True)


async def slow_worker(cluster: Cluster) -> None:
    """Make one worker four times slower."""
    await cluster.control(next(iter(cluster.worker_by_vm.values())), slow=4.0)


async def log_down(cluster: Cluster) -> None:
    """Take the platform down."""
    await cluster.control(cluster.log, down=True)
    await cluster.control(cluster.directory, down=True)


async def cut_domain(cluster: Cluster) -> None:
    """Cut one domain off the other and off the platform, for a while."""
    one, other = sorted({entry.domain for entry in cluster.entry_by_vm.values()})[:2]
    cluster.cut_domains(one, other)
    cluster.cut_platform(one)
    await asyncio.sleep(5.0)
    cluster.heal_domains(one, other)
    cluster.heal_platform(one)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        steady(0.5),
        steady(0.8),
        burst(),
        flood(),
        no_flood(),
        one_domain_burst("one-domain-burst", spill=True),
        one_domain_burst("one-domain-burst-alone", spill=False),
        with_fault("entry-killed", kill_entry),
        with_fault("worker-killed", kill_worker),
        with_fault("worker-fails", fail_worker),
        with_fault("worker-slow", slow_worker),
        with_fault("log-down", log_down),
        with_fault("domain-cut", cut_domain),
    )
}
