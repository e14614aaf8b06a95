"""What each version of the configuration in a soak run allows.

Each version adds one route and one key. Most are dropped some versions later;
one of three stays for long, so that it is in force for longer than the bound of
time even where versions follow each other fast. Brief ones are in some
versions, and in later ones again. A version may be altered in
what no request shows: the altered ones have numbers of their own.
"""

import random
from dataclasses import dataclass

from tests.peridotwell_platform.stand_in import route
from tests.soak.shapes import IDLE, number_offset, reshape
from tests.soak.site import Site

__all__ = (
    'ADDED',
    'BASE_KEY',
    'Alteration',
    'MILLISECONDS',
    'Versions',
    'allows',
    'MOVED',
    'document',
    'moved_to',
)

ADDED = 'extra'
BASE_KEY = 'key-1'
SMALL_SITE = Site()
MILLISECONDS = 1000
MAX_CONNECTIONS = 100
# For so many versions, an added route or key is held.
WINDOW = 5
# One of three is held for longer.
LONG_WINDOW = 60
LONG_STEP = 3
# The oldest of those that are asked for are so many steps old.
LONG_STEPS_ASKED = 8
RECENT = 3
SLO_MS = 200
BRIEF = 'brief'
BRIEF_NAMES = tuple(f'{BRIEF}{number}' for number in range(3))
# A brief name is in the first of so many versions, and again after all.
BRIEF_VERSIONS, BRIEF_PERIOD = 2, 5
BRIEF_SHARE = 0.4
# A route that some versions open to callers without a key that counts.
OPEN = 'open'
OPEN_VERSIONS, OPEN_PERIOD = 3, 6
OPEN_SHARE = 0.1
UNKNOWN_KEY = 'nobody'
# A route that each of so many versions leaves where it is, then moves.
MOVED = 'moved'
MOVED_VERSIONS = 3
# The numbers of versions leave room for this many alterations.
MAX_ALTERATIONS = 100
BASE_ROUTES = (
    route('read', 'idempotent', slo_ms=SLO_MS),
    route('book', 'non_idempotent', max_attempts=1, slo_ms=SLO_MS),
    route('draft', 'streaming', max_attempts=1, slo_ms=SLO_MS),
    route('ask', 'streaming', resumable=True, slo_ms=SLO_MS),
)
BASE_NAMES = frozenset(each['name'] for each in BASE_ROUTES)


@dataclass(frozen=True)
class Alteration:
    """What distinguishes a document from others of the same version.

    It has `more_routes` that nobody uses, and another tenant of this number.
    """

    number: int = 0
    more_routes: int = 0
    tenant: int = 0


AS_WRITTEN = Alteration()


def document(
    version: int,
    site: Site = SMALL_SITE,
    alteration: Alteration = AS_WRITTEN,
) -> dict:
    """Return the configuration document of a version."""
    added = [
        f'{ADDED}{number}'
        for number in range(max(version - LONG_WINDOW, 0), version + 1)
        if _has_number(version, number)
    ]
    if site.has_brief_names:
        added.extend(name for name in BRIEF_NAMES if _has_brief(version, name))
    idle_routes = site.idle_routes + alteration.more_routes
    names = (*added, *(f'{IDLE}{each}' for each in range(idle_routes)))
    routes = [_make_route(name) for name in names]
    if site.shapes:
        is_open = _is_open(version, OPEN)
        routes.append(route(OPEN, 'idempotent', anonymous=is_open))
        routes.append(route(MOVED, 'idempotent'))
    offset = number_offset(site.shapes, version) if site.shapes else 0
    terms = {'timeout_ms': int(site.deadline_seconds * MILLISECONDS)}
    config = {
        'version': version * MAX_ALTERATIONS + offset + alteration.number,
        'routes': [
            {**each, **terms, 'service': _service_of(each, version, site)}
            for each in (*BASE_ROUTES, *routes)
        ],
        'services': [
            {'name': name, 'max_conns': MAX_CONNECTIONS}
            for name in site.services
        ],
        'tenants': [
            {'name': 'tenant-1', 'api_keys': [BASE_KEY, *added]},
            {
                'name': f'tenant-{alteration.tenant + 2}',
                'api_keys': [f'key-{alteration.tenant + 2}'],
            },
        ],
    }
    return reshape(config, site.shapes) if site.shapes else config


def moved_to(version: int, site: Site) -> str:
    """Return the service of the route that moves, if a version has it."""
    if not site.shapes:
        return ''
    return site.services[version // MOVED_VERSIONS % len(site.services)]


def _service_of(asked: dict, version: int, site: Site) -> str:
    if asked['name'] == MOVED:
        return moved_to(version, site)
    return site.service_of(asked['kind'])


def allows(version: int, route_name: str, key: str) -> bool:
    """Whether a version has a route, and a key unless it needs none."""
    if route_name == OPEN:
        return _is_open(version, route_name) or _has(version, key, {BASE_KEY})
    return _has(version, route_name, BASE_NAMES) and _has(
        version, key, {BASE_KEY}
    )


class Versions:
    """Draws routes and keys that were just added or dropped, or never were."""

    def __init__(self, seed: str, site: Site = SMALL_SITE) -> None:
        self._random = random.Random(f'versions {seed}')
        self._site = site

    def draw(self, version: int) -> tuple[str, str]:
        """Return a route and a key; `version` is the newest one."""
        if self._site.shapes and self._random.random() < OPEN_SHARE:
            return self._random.choice(
                ((OPEN, UNKNOWN_KEY), (OPEN, BASE_KEY), (MOVED, BASE_KEY))
            )
        has_brief_names = self._site.has_brief_names
        if has_brief_names and self._random.random() < BRIEF_SHARE:
            name = self._random.choice(BRIEF_NAMES)
            return self._random.choice(((name, BASE_KEY), ('read', name)))
        newest = self._random.randint(max(version - RECENT, 1), version)
        old = newest - LONG_STEP * self._random.randint(0, LONG_STEPS_ASKED)
        long = max(old - old % LONG_STEP, LONG_STEP)
        numbers = (newest, newest, long, newest - WINDOW, version + 1000)
        name = f'{ADDED}{self._random.choice(numbers)}'
        return self._random.choice(((name, BASE_KEY), ('read', name)))


def _make_route(name: str) -> dict:
    made = route(name, 'idempotent', slo_ms=SLO_MS)
    if name.startswith(BRIEF):
        # Names of hosts are the same in capitals.
        made['host'] = made['host'].upper()
    return made


def _is_open(version: int, name: str) -> bool:
    return name == OPEN and version % OPEN_PERIOD < OPEN_VERSIONS


def _has_brief(version: int, name: str) -> bool:
    shift = int(name.removeprefix(BRIEF))
    return (version + shift) % BRIEF_PERIOD < BRIEF_VERSIONS


def _has(version: int, name: str, base: frozenset[str] | set[str]) -> bool:
    if name in BRIEF_NAMES:
        return _has_brief(version, name)
    if name in base or name == MOVED:
        return True
    text = name.removeprefix(ADDED)
    return text.lstrip('-').isdigit() and _has_number(version, int(text))


def _has_number(version: int, number: int) -> bool:
    window = WINDOW if number % LONG_STEP else LONG_WINDOW
    return 0 < number <= version < number + window
