"""Entries of other writers in the store, one of whose fields is odd."""

import itertools
from dataclasses import dataclass

import httpcore
import msgspec
import pytest
import trio
from peridotwell_platform.entries import PlatformEntryDecoder
from peridotwell_platform.headers import PlatformTargetAdapter

from peridotwell.errors import EntryError
from peridotwell.fleet.caches.cache_lists import list_portions
from peridotwell.fleet.replica.version_record import decode_versions
from peridotwell.fleet.transport.frames import (
    CachesPush,
    StreamPush,
    decode_frame,
    encode_frame,
)
from peridotwell.fleet.transport.router_registry import decode_router
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import cut_fleet, stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    call,
    caller_headers,
    start_router,
    start_store,
)
from tests.ports import find_free_port

ENTRIES = PlatformEntryDecoder()
# Numbers are texts here, for some are none that the language would write.
ODD_NUMBERS = (
    '-1',
    '-9223372036854775809',
    '9223372036854775808',
    '18446744073709551616',
    f'1{"0" * 40}',
    f'1{"0" * 400}',
    f'1{"0" * 5000}',
    '1e400',
    'true',
    f'{"[" * 3000}{"]" * 3000}',
)
ODD_ADDRESSES = (
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1:1e3',
    f'10.0.0.1:{"1" * 5000}',
    '10.0.0.1:\u0663\u0663',
    'a..b:80',
    'x' * 300 + ':80',
    '*:80',
    ';:80',
    ' ',
    '',
)
ODD_FIELDS = (
    *(
        (name, number)
        for name in ('born', 'seq', 'slots', 'version')
        for number in ODD_NUMBERS
    ),
    *(
        ('address', msgspec.json.encode(each).decode())
        for each in ODD_ADDRESSES
    ),
    ('service', '"\\ud800"'),
    ('zone', '"\\ud800"'),
    ('zone', f'"{"z" * 70000}"'),
    ('cold_left_ms', f'1{"0" * 5000}'),
    ('unknown', f'{"[" * 3000}{"]" * 3000}'),
)
ODD_ROUTER_FIELDS = (
    *(
        (name, number)
        for name in ('sender', 'incarnation', 'link_bytes_per_second')
        for number in ODD_NUMBERS
    ),
    *(
        (name, msgspec.json.encode(each).decode())
        for name in ('peers', 'handover_address')
        for each in ODD_ADDRESSES
    ),
    ('name', '"\\ud800"'),
    ('data_centre', '"\\ud800"'),
    ('unknown', f'{"[" * 3000}{"]" * 3000}'),
)
TARGET = {
    'service': '"svc"',
    'address': f'"{LOCALHOST}:9"',
    'zone': '"north"',
    'state': '"ready"',
    'born': '1764900000000',
    'seq': '1',
    'slots': '4',
    'version': '1',
}
ROUTER = {
    'sender': '7',
    'name': '"r-odd"',
    'data_centre': '"north"',
    'peers': f'"{LOCALHOST}:9"',
    'operators': '""',
    'incarnation': '1764900000000',
    'link_bytes_per_second': '0',
    'handover_address': '""',
}


def document(fields, name, text):
    """Return a JSON object with one field replaced; all values are texts."""
    pairs = {**fields, name: text}.items()
    return f'{{{",".join(f"{key!r}:{each}" for key, each in pairs)}}}'.replace(
        "'", '"'
    ).encode()


@dataclass
class Harness:
    """A router, its store and the number of the next request."""

    store: stand_in.StoreStandIn
    address: str
    directory: object
    numbers: itertools.count

    async def send(self):
        headers = caller_headers(next(self.numbers), x_deadline_ms='1000')
        async with httpcore.AsyncConnectionPool() as pool:
            return await call(
                pool, self.address, 'POST', '/book/x', headers, b'q'
            )


async def start_target(nursery, store, name):
    target = stand_in.TargetStandIn(name)
    address = await nursery.start(serve_http, target.handle, f'{LOCALHOST}:0')
    store.put(f'servers/{name}', cut_fleet.target_entry(address))


async def start_harness(nursery, odd_entries):
    """Start a router beside odd entries, and leave as many behind later."""
    store, address = await start_store(nursery, cut_fleet.CONFIG)
    await start_target(nursery, store, 'i-0')
    for key, content in odd_entries.items():
        store.put(key, content)
    peers = f'{LOCALHOST}:{find_free_port()}'
    with trio.fail_after(5):
        started = await start_router(nursery, 'r-0', address, peers)
    for key, content in odd_entries.items():
        store.put(f'{key}-later', content)
    directory = started.router._components.directory
    return Harness(store, started.address, directory, itertools.count())


async def check_serves_and_follows(harness, nursery):
    """Check that requests are served and that changes are learned."""
    for _ in range(5):
        assert (await harness.send()).status == 200
    await start_target(nursery, harness.store, 'i-1')
    with trio.fail_after(2):
        while harness.directory.target_by_id(target_id('i-1')) is None:
            await trio.sleep(0.01)
    # Two updates to the other routers, a full one among them.
    await trio.sleep(0.3)
    for _ in range(5):
        assert (await harness.send()).status == 200


def target_id(name):
    return ENTRIES.decode_target(
        f'servers/{name}', cut_fleet.target_entry('10.0.0.1:80')
    ).wire_id


# Guards against requests that fail, and against routers that end or no longer
# follow the store, because of one odd entry among those of the targets.
@pytest.mark.parametrize(
    ('name', 'text'),
    ODD_FIELDS,
    ids=[f'{name}-{text[:20]}-{len(text)}' for name, text in ODD_FIELDS],
)
async def test_a_router_serves_beside_an_odd_entry_of_a_target(
    nursery, name, text
):
    content = document(TARGET, name, text)
    # Another service: nothing listens at the address of the entry.
    other = document({**TARGET, 'service': '"other"'}, name, text)
    entries = {'servers/a-odd': other}
    if not is_target(content):
        entries['servers/b-odd'] = content
    harness = await start_harness(nursery, entries)
    await check_serves_and_follows(harness, nursery)


def is_target(content):
    try:
        ENTRIES.decode_target('servers/x', content)
    except EntryError:
        return False
    return True


# Guards against routers that tell the others nothing any more, because of one
# odd entry among those of the routers.
@pytest.mark.parametrize(
    ('name', 'text'),
    ODD_ROUTER_FIELDS,
    ids=[f'{name}-{text[:20]}-{len(text)}' for name, text in ODD_ROUTER_FIELDS],
)
async def test_a_router_serves_beside_an_odd_entry_of_a_router(
    nursery, name, text
):
    entries = {'routers/north/a-odd': document(ROUTER, name, text)}
    harness = await start_harness(nursery, entries)
    await check_serves_and_follows(harness, nursery)


# Guards against numbers that are decoded but cannot be told to other routers,
# or that the choice of a target cannot calculate with.
@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('name', ['born', 'seq', 'slots', 'version'])
def test_numbers_of_a_target_that_is_taken_are_of_a_usual_size(name, number):
    content = document(TARGET, name, number)
    if not is_target(content):
        return
    target = ENTRIES.decode_target('servers/x', content)
    assert target.slots >= 0
    assert float(target.slots) < 1e9
    assert target.report is not None
    assert target.report.number >= 0
    assert float(target.report.started_milliseconds) < 1e18


# Guards against lists of engines' caches that cannot be told to other routers.
@pytest.mark.parametrize('number', ODD_NUMBERS)
def test_a_cache_list_that_is_taken_can_be_told_to_others(number):
    content = f'{{"held": [["", "part", {number}, "m"]]}}'.encode()
    try:
        parts = PlatformTargetAdapter().decode_cache_list(content)
    except EntryError:
        return
    push = CachesPush(1, tuple(list_portions(1, parts)))
    assert decode_frame(encode_frame(push)) == push


# Guards against streams that cannot be resumed because of an odd record of
# versions, which routers tell each other.
@pytest.mark.parametrize('number', ODD_NUMBERS)
def test_versions_that_are_taken_are_of_a_usual_size(number):
    versions = decode_versions(f'{{"svc": [{number}]}}'.encode())
    for version in (versions or {}).get('svc', ()):
        push = StreamPush(1, 1, 'svc', version, 0)
        assert decode_frame(encode_frame(push)) == push


# Guards against updates that cannot be sent because of a number in an entry.
@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize(
    'name', ['sender', 'incarnation', 'link_bytes_per_second']
)
def test_a_router_that_is_taken_can_be_told_to_others(name, number):
    hello = decode_router(document(ROUTER, name, number))
    if hello is not None:
        assert decode_frame(encode_frame(hello)) == hello
