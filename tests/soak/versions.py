"""What each version of the configuration in a soak run allows.

Each version adds one route and one key, and drops the oldest added ones.
"""

import random

from tests.peridotwell_platform.stand_in import route
from tests.soak.site import Site

__all__ = (
    'ADDED',
    'BASE_KEY',
    'MILLISECONDS',
    'Versions',
    'allows',
    'document',
)

ADDED = 'extra'
BASE_KEY = 'key-1'
SMALL_SITE = Site()
MILLISECONDS = 1000
MAX_CONNECTIONS = 100
# Added routes and keys that a version holds.
WINDOW = 5
RECENT = 3
SLO_MS = 200
BASE_ROUTES = (
    route('read', 'idempotent', slo_ms=SLO_MS),
    route('book', 'non_idempotent', max_attempts=1, slo_ms=SLO_MS),
    route('draft', 'streaming', max_attempts=1, slo_ms=SLO_MS),
    route('ask', 'streaming', resumable=True, slo_ms=SLO_MS),
)
BASE_NAMES = frozenset(each['name'] for each in BASE_ROUTES)


def document(version: int, site: Site = SMALL_SITE) -> dict:
    """Return the configuration document of a version."""
    added = [f'{ADDED}{number}' for number in _window(version)]
    names = (*added, *(f'idle{each}' for each in range(site.idle_routes)))
    routes = [route(name, 'idempotent', slo_ms=SLO_MS) for name in names]
    terms = {'timeout_ms': int(site.deadline_seconds * MILLISECONDS)}
    return {
        'version': version,
        'routes': [
            {**each, **terms, 'service': site.service_of(each['kind'])}
            for each in (*BASE_ROUTES, *routes)
        ],
        'services': [
            {'name': name, 'max_conns': MAX_CONNECTIONS}
            for name in site.services
        ],
        'tenants': [{'name': 'tenant-1', 'api_keys': [BASE_KEY, *added]}],
    }


def allows(version: int, route_name: str, key: str) -> bool:
    """Whether a version has a route and a key."""
    return _has(version, route_name, BASE_NAMES) and _has(
        version, key, {BASE_KEY}
    )


class Versions:
    """Draws routes and keys that were just added or dropped, or never were."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(f'versions {seed}')

    def draw(self, version: int) -> tuple[str, str]:
        """Return a route and a key; `version` is the newest one."""
        newest = self._random.randint(max(version - RECENT, 1), version)
        numbers = (newest, newest, newest - WINDOW, version + 1000)
        name = f'{ADDED}{self._random.choice(numbers)}'
        return self._random.choice(((name, BASE_KEY), ('read', name)))


def _has(version: int, name: str, base: frozenset[str] | set[str]) -> bool:
    number = name.removeprefix(ADDED)
    return name in base or (
        number.lstrip('-').isdigit() and int(number) in _window(version)
    )


def _window(version: int) -> range:
    return range(max(version - WINDOW + 1, 1), version + 1)
