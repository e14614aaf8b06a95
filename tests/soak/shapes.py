"""Versions of the configuration in other shapes, which allow the same.

What the pages leave to operators is drawn: optional fields absent, null, as
another type of number or extreme, hosts in capitals, splits, services and
tenants that come and go. Routes that callers ask for keep their meaning; those
that nobody uses may be odd.
"""

import random
from collections.abc import Callable
from typing import Any

__all__ = ('IDLE', 'number_offset', 'reshape')

IDLE = 'idle'
PLAIN_SHARE = 0.3
ROUTE_SHARE, ODD_SHARE = 0.15, 0.02
FLOAT_VERSION_SHARE = 0.1
# Versions have uneven steps; above, there is room for alterations.
MAX_OFFSET = 60
MAX_IDLE_SERVICES, MAX_IDLE_TENANTS = 3, 3
NUMBERS = ('timeout_ms', 'slo_ms', 'max_attempts')
# What an absent field stands for, in all the ways to write it.
DEFAULTS: dict[str, tuple[Any, ...]] = {
    'priority': (None, 0, float(0)),
    'gap_target_ms': (None, 0, float(0)),
    'anonymous': (None, False),
    'resumable': (None, False),
    'split': (None, []),
    'comment': ('a field that no page names', None),
}
ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {'priority': 1.0},
    {'priority': -1},
    {'priority': 10**12},
    {'max_attempts': 0},
    {'max_attempts': 2.5},
    {'timeout_ms': 0},
    {'timeout_ms': 1e15},
    {'slo_ms': None},
    {'slo_ms': -1},
    {'gap_target_ms': 1e15},
    {'kind': 'batch'},
    {'service': 'nowhere'},
    {'service': None, 'split': None},
    {'split': [{'service': 'nowhere', 'weight': 0}]},
    {'resumable': True},
    {'anonymous': True},
    # Inside the prefix of another one, or the same as that of another one.
    {'path_prefix': '/read/inside/'},
    {'path_prefix': '/idle0/', 'host': 'A.EXAMPLE'},
    {'name': 'idle0'},
)
LIMITS: tuple[dict[str, Any] | None, ...] = (
    None,
    {},
    {'max_header_bytes': 16384.0, 'idle_timeout_ms': 15000},
    {'max_body_bytes': None, 'header_timeout_ms': None},
    {'max_body_bytes': 10**12, 'max_header_bytes': 65536},
)
ENGINES = (None, {'slots': 64.0, 'kv_capacity_tokens': 1000}, {})


def number_offset(seed: int, version: int) -> int:
    """Return what is added to the number of a version."""
    return random.Random(f'number {seed} {version}').randint(0, MAX_OFFSET)


def reshape(config: dict, seed: int) -> dict:
    """Return a document that allows the same as this one."""
    number = config['version']
    draws = random.Random(f'shape {seed} {number}')
    if draws.random() < PLAIN_SHARE:
        return config
    routes = [_reshape_route(route, draws) for route in config['routes']]
    draws.shuffle(routes)
    return {
        **config,
        'version': _one_of(draws, FLOAT_VERSION_SHARE, number, float),
        'routes': routes,
        'services': [*config['services'], *_idle_services(draws)],
        'tenants': [*config['tenants'], *_idle_tenants(draws)],
        **draws.choice(({}, {'limits': draws.choice(LIMITS)})),
    }


def _reshape_route(route: dict, draws: random.Random) -> dict:
    if route['name'].startswith(IDLE) and draws.random() < ODD_SHARE:
        return {**route, **draws.choice(ODD_FIELDS)}
    if draws.random() >= ROUTE_SHARE:
        return route
    made = {**route, 'host': draws.choice((route['host'], 'A.Example'))}
    for name in NUMBERS:
        made[name] = _one_of(draws, 0.3, made[name], float)
    for name, ways in DEFAULTS.items():
        if name not in route and draws.random() < 0.3:
            made[name] = draws.choice(ways)
    if draws.random() < 0.3:
        service = made.pop('service')
        weights = (draws.choice((1, 0.3, 70)), draws.choice((2, 0.7, 30.0)))
        made['split'] = [
            {'service': service, 'weight': weight} for weight in weights
        ]
    return made


def _idle_services(draws: random.Random) -> list[dict]:
    return [
        {
            'name': f'idle-service-{draws.randint(0, 9)}',
            'max_conns': draws.choice((None, 0, 100.0)),
            'engine': draws.choice(ENGINES),
        }
        for _ in range(draws.randint(0, MAX_IDLE_SERVICES))
    ]


def _idle_tenants(draws: random.Random) -> list[dict]:
    shapes = ({'api_keys': None}, {}, {'api_keys': [], 'priority': 3.0})
    return [
        {'name': f'idle-tenant-{each}', **draws.choice(shapes)}
        for each in range(draws.randint(0, MAX_IDLE_TENANTS))
    ]


def _one_of(
    draws: random.Random, share: float, plain: Any, change: Callable[[Any], Any]
) -> Any:
    return change(plain) if draws.random() < share else plain
