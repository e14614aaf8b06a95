"""What versions allow is what their documents have."""

from dataclasses import replace
from itertools import pairwise

from tests.soak.site import DAY, FIELD, Site
from tests.soak.versions import (
    BASE_KEY,
    BRIEF_NAMES,
    LONG_STEP,
    LONG_WINDOW,
    MOVED,
    OPEN,
    UNKNOWN_KEY,
    WINDOW,
    Alteration,
    Versions,
    allows,
    document,
    moved_to,
)

VERSIONS = range(1, 2 * LONG_WINDOW)
NAMES = [f'extra{number}' for number in range(-2, 2 * LONG_WINDOW + 2)]


SHAPED = replace(DAY, shapes=65)


def route_names(config):
    return {each['name'] for each in config['routes']}


def keys(config):
    return {
        key for each in config['tenants'] for key in each.get('api_keys') or ()
    }


def test_document_has_the_routes_and_keys_that_its_version_allows():
    for site, names in (
        (FIELD, NAMES),
        (DAY, (*NAMES, *BRIEF_NAMES)),
        (SHAPED, (*NAMES, *BRIEF_NAMES)),
    ):
        for version in VERSIONS:
            config = document(version, site)
            allowed = {
                name for name in names if allows(version, name, BASE_KEY)
            }
            with_key = {name for name in names if allows(version, 'read', name)}
            assert allowed == route_names(config) & set(names)
            assert with_key == keys(config) & set(names)
            assert allows(version, 'read', BASE_KEY)


def versions_with(name):
    return [each for each in VERSIONS if allows(each, name, BASE_KEY)]


# Guards against a check that never sees late additions: what was added was
# dropped again before the bound of time was over.
def test_some_of_what_is_added_stays_for_long():
    assert len(versions_with(f'extra{LONG_STEP}')) == LONG_WINDOW
    assert len(versions_with(f'extra{LONG_STEP + 1}')) == WINDOW
    draws = Versions('1')
    drawn = [draws.draw(LONG_WINDOW) for _ in range(300)]
    old = LONG_WINDOW - 4 * LONG_STEP
    assert any(
        name.startswith('extra')
        and 0 < int(name[5:]) < old
        and allows(LONG_WINDOW, route, key)
        for route, key in drawn
        for name in (route, key)
    )


def test_brief_names_come_and_go_again():
    for name in BRIEF_NAMES:
        held = [allows(each, name, BASE_KEY) for each in VERSIONS]
        changes = sum(old != new for old, new in pairwise(held))
        assert changes > len(VERSIONS) / 3


def test_alterations_change_only_what_no_request_shows():
    plain = document(7, DAY)
    altered = document(7, DAY, Alteration(number=2, more_routes=5, tenant=3))
    assert altered['version'] == plain['version'] + 2
    assert altered['version'] < document(8, DAY)['version']
    assert {
        name.rstrip('0123456789')
        for name in route_names(altered) - route_names(plain)
    } == {'idle'}
    assert len(altered['routes']) == len(plain['routes']) + 5
    shared = {BASE_KEY, *BRIEF_NAMES, *NAMES}
    assert keys(altered) & shared == keys(plain) & shared
    assert keys(altered) != keys(plain)


def test_small_site_has_no_brief_names():
    for version in VERSIONS:
        assert not route_names(document(version, Site())) & set(BRIEF_NAMES)


def asked_routes(config):
    """Return what requests show of routes, by name."""
    return {
        each['name']: (
            each['host'].lower(),
            each['path_prefix'],
            each['kind'],
            float(each['timeout_ms']),
            float(each['max_attempts']),
            each.get('resumable') or False,
            {share['service'] for share in each.get('split') or ()}
            or {each['service']},
        )
        for each in config['routes']
        if not each['name'].startswith('idle')
    }


# Guards against a judge that holds routers to what a version does not say.
def test_shapes_change_nothing_that_callers_ask_for():
    are_plain = []
    for version in VERSIONS:
        plain, shaped = document(version, DAY), document(version, SHAPED)
        asked = asked_routes(shaped)
        asked.pop(OPEN)
        assert asked.pop(MOVED)[-1] == {moved_to(version, SHAPED)}
        assert asked == asked_routes(plain)
        [opened] = (each for each in shaped['routes'] if each['name'] == OPEN)
        assert allows(version, OPEN, UNKNOWN_KEY) == opened['anonymous']
        assert allows(version, OPEN, BASE_KEY)
        are_plain.append(shaped['services'] == plain['services'])
    assert 0 < sum(are_plain) < len(are_plain)


def test_a_route_moves_between_the_services():
    services = {moved_to(version, SHAPED) for version in VERSIONS}
    assert services == set(SHAPED.services)
    assert not moved_to(1, DAY)


def test_versions_have_uneven_steps_and_stay_in_order():
    numbers = [int(document(each, SHAPED)['version']) for each in VERSIONS]
    assert numbers == sorted(set(numbers))
    steps = {after - before for before, after in pairwise(numbers)}
    assert len(steps) > len(numbers) / 4
