"""Equal hosts and paths of requests have one form."""

import pytest

from peridotwell.domain.route_paths import (
    RoutePath,
    canonical_host,
    canonical_path,
)
from peridotwell.domain.routing_table import (
    RequestKind,
    Route,
    RoutingTable,
    WeightedService,
)


# Guards against hosts that HTTP considers equal and that have no route.
@pytest.mark.parametrize(
    ('host', 'canonical'),
    [
        ('a.example', 'a.example'),
        ('A.Example:8080', 'a.example'),
        ('a.example:', 'a.example'),
        ('a.example.', 'a.example'),
        ('a.example.:80', 'a.example'),
        ('%61.ex%41mple', 'a.example'),
        ('a.example..', 'a.example.'),
        ('[::1]:80', '[::1]'),
        ('[::1]', '[::1]'),
        ('10.0.0.1:80', '10.0.0.1'),
        ('\u00fc.example', '%c3%bc.example'),
        ('%C3%BC.example', '%c3%bc.example'),
        ('', ''),
    ],
)
def test_equal_hosts_have_one_form(host, canonical):
    assert canonical_host(host) == canonical


# Guards against paths that HTTP considers equal and that have no route, and
# against a route for a path that is another one.
@pytest.mark.parametrize(
    ('path', 'canonical'),
    [
        ('/a/b', '/a/b'),
        ('/%61/%62', '/a/b'),
        ('/%7Ea%2d%2E%5f/', '/~a-._/'),
        ('/a%2fb/', '/a%2Fb/'),
        ('/a%20b%C3%bc', '/a%20b%C3%BC'),
        ('/%2561/', '/%2561/'),
        ('/\u00fc%c3%bc/', '/%C3%BC%C3%BC/'),
        ('/\U0001f600/', '/%F0%9F%98%80/'),
        ('/%6/%', '/%6/%'),
        ('/A/', '/A/'),
        ('/a//b/../c', '/a//b/../c'),
    ],
)
def test_equal_paths_have_one_form(path, canonical):
    assert canonical_path(path) == canonical
    assert canonical_path(canonical) == canonical


def make_route(host, prefix):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RequestKind.idempotent,
        services=(WeightedService('svc'),),
        timeout_seconds=1,
        objective_seconds=1,
    )


TABLE = RoutingTable(
    1,
    1,
    (
        make_route('a.example', '/a/'),
        make_route('a.example', '/a/b/'),
        make_route('B.example.', '/%7e%63/'),
        make_route('b.example', '/'),
        make_route('a.example', '/\u00e9/'),
    ),
    unreadable_paths=(RoutePath('a.example', '/%78/'),),
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/a/x', '/a/'),
        ('A.EXAMPLE.:80', '/%61/x', '/a/'),
        ('a.example', '/a/%62/x', '/a/b/'),
        ('a.example', '/a%2Fb/x', None),
        ('a.example', '/a/%2Fb/x', '/a/'),
        ('a.example', '/a//b/x', '/a/'),
        ('a.example', '//a/x', None),
        ('a.example', '/x/../a/', None),
        ('a.example', '/A/x', None),
        ('a.example', '/%c3%a9/x', '/\u00e9/'),
        ('a.example', '/%C3%A9/x', '/\u00e9/'),
        ('a.example', '/%E9/x', None),
        ('a.example', '', None),
        ('a.example', '*', None),
        ('a.example', 'a/', None),
        ('b.example', '/~c/x', '/%7e%63/'),
        ('b.example', '/%7Ec/x', '/%7e%63/'),
        ('b.example', '//', '/'),
        ('b.example', '/', '/'),
        ('b.example', '', None),
        ('b.example', '*', None),
        ('c.example', '/a/x', None),
    ],
)
def test_route_of_an_equal_address_is_found(host, path, name):
    found = TABLE.find_route(host, path)
    assert (found.name if found else None) == name


def test_equal_path_of_an_unreadable_route_is_in_doubt():
    assert TABLE.find_route('a.example', '/x/y') is None
    assert TABLE.is_in_doubt('A.example.', '/x/y')
    assert TABLE.is_in_doubt('a.example:80', '/%78/y')
    assert not TABLE.is_in_doubt('a.example', '/y/x')
