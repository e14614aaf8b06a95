"""Tests of the stored entries of routers."""

import msgspec

from peridotwell.fleet.transport.router_registry import decode_router

ENTRY = {
    'sender': 7,
    'name': 'r1',
    'data_centre': 'a',
    'peers': '10.0.0.1:1',
    'operators': '',
    'incarnation': 3,
}


def test_entry_tells_the_rate_of_the_routers_link():
    entry = {**ENTRY, 'link_bytes_per_second': 625_000}
    hello = decode_router(msgspec.json.encode(entry))
    assert hello.link_bytes_per_second == 625_000


def test_entry_of_an_older_version_has_no_link_rate():
    hello = decode_router(msgspec.json.encode(ENTRY))
    assert (hello.name, hello.link_bytes_per_second) == ('r1', 0)


def test_entry_that_cannot_be_decoded_is_no_router():
    assert decode_router(b'{"sender": "x"}') is None
