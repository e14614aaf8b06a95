"""Tests of differences between versions of an entry."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.fleet.replica.entry_patches import (
    PatchError,
    apply_patch,
    make_patch,
)

VERSIONS = st.binary(min_size=1, max_size=500)


def make_document(version, routes):
    return json.dumps({'version': version, 'routes': routes}).encode()


def make_routes(count):
    rng = random.Random(7)
    return [
        {
            'name': f'r-{rng.getrandbits(40):x}',
            'host': f'h{rng.getrandbits(12)}.example',
            'path_prefix': f'/p{rng.getrandbits(20)}/',
            'timeout_ms': 10_000,
        }
        for _ in range(count)
    ]


@given(VERSIONS, VERSIONS)
def test_a_patch_makes_the_new_version_of_the_old_one(old, new):
    assert apply_patch(old, make_patch(old, new)) == new


def test_one_added_route_of_many_is_a_small_patch():
    """The whole configuration takes a second on a slow link."""
    routes = make_routes(1700)
    old = make_document(7, routes)
    routes.insert(900, {**routes[0], 'name': 'added'})
    new = make_document(9, routes)
    assert len(new) > 150_000
    assert len(make_patch(old, new)) < 500


def test_a_patch_is_refused_for_another_version():
    routes = make_routes(50)
    old = make_document(7, routes)
    patch = make_patch(old, make_document(9, routes[:-1]))
    with pytest.raises(PatchError, match='read the whole entry'):
        apply_patch(make_document(7, routes[::-1]), patch)


@given(st.binary(max_size=200))
def test_bytes_that_are_no_patch_are_refused(content):
    with pytest.raises(PatchError):
        apply_patch(b'old', content)
