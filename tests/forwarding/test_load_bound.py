"""Tests of the bound on the load of targets while counts are on their way.

Sixty routers learn of each other's requests a quarter of a second late. The
bound holds if at most three of a hundred requests are sent to targets with more
than twice the mean load of their service, plus three requests.
"""

import random
from dataclasses import replace

from tests.forwarding.simulated_targets import (
    ENGINES,
    PLAIN,
    Job,
    SimulatedFleet,
)

ROUTERS = 60
ENGINE_COUNT = 45
PLAIN_COUNT = 4
WARM_UP_SECONDS = 2.0
END_SECONDS = 7.0
MAX_SHARE_OVER_BOUND = 0.03
# Requests a second, in calm parts of each two seconds and in the burst.
CALM_RATE = 250
BURST_RATE = 430
BURST_SECONDS = 0.5
# Share of the requests that have the same prompt.
POPULAR_SHARE = 0.15


def arrivals(rng, factor=1.0):
    """Yield the times of arrivals; each two seconds end with a burst."""
    now = 0.0
    while now < END_SECONDS:
        is_burst = now % 2 > 2 - BURST_SECONDS
        rate = (BURST_RATE if is_burst else CALM_RATE) * factor
        now += rng.expovariate(rate)
        yield now


def engine_job(rng, now, subjects):
    seconds, first = rng.choice(
        ((0.12, 0.1), (0.12, 0.1), (0.12, 0.1), (1.0, 0.1), (1.7, 0.25))
    )
    subject = f's{rng.randrange(subjects)}'
    return Job(
        now, rng.randrange(ROUTERS), ENGINES, seconds, first, subject, 2000
    )


def popular_prompt_job(rng, now):
    job = engine_job(rng, now, subjects=2000)
    is_popular = rng.random() < POPULAR_SHARE
    return replace(job, subject='popular') if is_popular else job


def plain_job(rng, now):
    seconds = rng.uniform(0.04, 0.1)
    return Job(now, rng.randrange(ROUTERS), PLAIN, seconds, seconds)


def share_over_bound(service, jobs):
    fleet = SimulatedFleet(ROUTERS, ENGINE_COUNT, PLAIN_COUNT)
    sends = fleet.run(jobs, END_SECONDS, WARM_UP_SECONDS)
    assert sends.sent[service] > 500
    return sends.share_over_bound(service)


# Guards against all routers choosing the least loaded engine at once.
def test_routers_do_not_herd_onto_one_engine_in_a_burst():
    rng = random.Random(19)
    jobs = [engine_job(rng, now, subjects=2000) for now in arrivals(rng)]
    assert share_over_bound(ENGINES, jobs) <= MAX_SHARE_OVER_BOUND


# Guards against all routers choosing one target of a plain service at once.
def test_routers_do_not_herd_onto_one_plain_target_in_a_burst():
    rng = random.Random(20)
    jobs = [plain_job(rng, now) for now in arrivals(rng, factor=0.4)]
    assert share_over_bound(PLAIN, jobs) <= MAX_SHARE_OVER_BOUND


# Guards against one popular prompt overloading the engine that has it cached.
def test_routers_do_not_herd_onto_the_engine_of_a_popular_prompt():
    rng = random.Random(21)
    jobs = [popular_prompt_job(rng, now) for now in arrivals(rng)]
    assert share_over_bound(ENGINES, jobs) <= MAX_SHARE_OVER_BOUND
