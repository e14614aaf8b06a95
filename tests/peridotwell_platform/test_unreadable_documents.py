"""Documents of the store, of targets and of peers that cannot be read."""

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from peridotwell_platform.entries import PlatformEntryDecoder
from peridotwell_platform.headers import PlatformTargetAdapter

from peridotwell.errors import BadRequest, EntryError, StoreError
from peridotwell.fleet.replica.version_record import decode_versions
from peridotwell.fleet.transport.frames import FrameError, decode_frame
from peridotwell.fleet.transport.router_registry import decode_router
from peridotwell.forwarding.handover.handover_protocol import decode_info
from peridotwell.store.http_client import decode_response
from tests.peridotwell_platform import cut_fleet, stand_in
from tests.peridotwell_platform.router_setup import start_router, start_store

ENTRIES = PlatformEntryDecoder()
DECODERS = {
    'target': lambda content: ENTRIES.decode_target('servers/x', content),
    'table': lambda content: ENTRIES.decode_table(content, 1),
    'caches': PlatformTargetAdapter().decode_cache_list,
    'router': decode_router,
    'versions': decode_versions,
    'frame': decode_frame,
    'handover': lambda content: decode_info(content.decode('latin-1')),
    'response': lambda content: decode_response(content, dict[str, int]),
}
EXPECTED = (EntryError, FrameError, BadRequest, StoreError)
FIELDS = st.sampled_from(
    [
        'service',
        'address',
        'zone',
        'state',
        'born',
        'seq',
        'slots',
        'version',
        'routes',
        'services',
        'limits',
        'tenants',
        'held',
        'sender',
        'name',
    ]
)
NUMBERS = st.one_of(
    st.integers(), st.integers(1, 400).map(lambda digits: 10**digits)
)
DOCUMENTS = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        NUMBERS,
        st.floats(),
        st.text(),
        st.sampled_from(['ready', 'a..b:80', '[::1]:80', '10.0.0.1:99999']),
    ),
    lambda each: st.one_of(
        st.lists(each, max_size=4), st.dictionaries(FIELDS, each, max_size=6)
    ),
    max_leaves=12,
)
JSON = st.builds(lambda document: repr(document).encode(), DOCUMENTS).map(
    lambda text: text.replace(b"'", b'"').replace(b'None', b'null')
)
DEEP = [
    b'[' * 2000,
    b'[' * 100_000,
    b'{"x":' + b'[' * 5000 + b']' * 5000 + b'}',
    b'\x91' * 5000,
    b'\x81' * 5000,
    b'{"born":' + b'9' * 5000 + b'}',
    b'{"version":' + b'9' * 5000 + b'}',
    b'{"service":"\xff"}',
    b'{"service":"\\ud800"}',
]


def decode(name, content):
    try:
        DECODERS[name](content)
    except EXPECTED:
        return


# Guards against a document that ends what reads it, with all others after it.
@pytest.mark.parametrize('name', DECODERS)
@given(st.one_of(st.binary(), JSON, DOCUMENTS.map(repr).map(str.encode)))
def test_a_document_that_cannot_be_read_is_rejected(name, content):
    decode(name, content)


@pytest.mark.parametrize('name', DECODERS)
@pytest.mark.parametrize('number', range(len(DEEP)))
def test_a_document_that_is_nested_too_deep_is_rejected(name, number):
    decode(name, DEEP[number])


# Guards against requests that fail because of an entry of another writer.
@pytest.mark.parametrize(
    'address', ['a..b:80', ':80', '10.0.0.1:0', '10.0.0.1:', '10.0.0.1', 'x:80']
)
def test_an_entry_without_an_ip_address_and_a_port_names_no_target(address):
    entry = msgspec.json.decode(cut_fleet.target_entry('10.0.0.1:80'))
    content = msgspec.json.encode({**entry, 'address': address})
    with pytest.raises(EntryError):
        ENTRIES.decode_target('servers/x', content)


# Guards against routers that never become ready, because an entry that is
# nested 2,000 deep is listed when they start.
async def test_a_router_starts_beside_an_entry_that_cannot_be_read(nursery):
    store, address = await start_store(nursery, cut_fleet.CONFIG)
    store.put('servers/a-deep', b'{"x":' + b'[' * 2000 + b']' * 2000 + b'}')
    target = stand_in.TargetStandIn('i-0')
    target_address = await nursery.start(
        cut_fleet.serve_http, target.handle, f'{cut_fleet.LOCALHOST}:0'
    )
    store.put('servers/i-0', cut_fleet.target_entry(target_address))
    with trio.fail_after(5):
        started = await start_router(nursery, 'r-0', address)
    components = started.router._components
    assert [
        each.name for each in components.directory.available_targets('svc')
    ] == ['i-0']
    store.delete('servers/i-0')
    await trio.sleep(0.3)
    assert not components.directory.available_targets('svc')


# Guards against unreadable entries that operators can only find in the log.
async def test_unreadable_entries_are_counted(nursery):
    store, address = await start_store(nursery, cut_fleet.CONFIG)
    store.put('servers/a', b'{')
    store.put('routers/north/b', b'[]')
    started = await start_router(nursery, 'r-0', address)
    counters = started.router.metrics.counters
    with trio.fail_after(3):
        while counters['entries.invalid'] < 2:
            await trio.sleep(0.05)
    store.put('op/config', b'null')
    with trio.fail_after(3):
        while counters['entries.invalid'] < 3:
            await trio.sleep(0.05)
