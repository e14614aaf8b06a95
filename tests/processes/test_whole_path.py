from standins.tokens import token_at


def expected_text(text: str, tokens: int) -> str:
    return ''.join(
        token_at(text, position) for position in range(1, tokens + 1)
    )


def test_next_turn_of_a_chat_returns_to_its_engine(cluster):
    for name in ('e1', 'e2', 'e3'):
        cluster.start_engine(name)
    routers = [cluster.start_router('r1'), cluster.start_router('r2')]
    first = cluster.chat(routers[0], 'which cylinder', peridotwell_chat='c1')
    assert first.status == 200
    assert first.body.endswith(b'data: [DONE]\n\n')
    assert first.text() == expected_text('which cylinder', 8)
    second = cluster.chat(
        routers[1],
        'which cylinder',
        stream=False,
        peridotwell_chat='c1',
        peridotwell_placement=first.headers['peridotwell-placement'],
    )
    assert second.text() == expected_text('which cylinder', 8)
    assert int(second.headers['x-cached-tokens']) > 0


def test_booking_sent_twice_runs_once(cluster):
    ledger = cluster.start_service('l1')
    router = cluster.start_router('r1')
    contract = {'prefix': '/ledger', 'pool': 'ledger'}
    assert cluster.configure(router, add_contracts=[contract]).status == 200
    replies = [
        cluster.post(
            router.address,
            '/ledger/bookings',
            {'kg': 3},
            idempotency_key='k1',
        )
        for _ in range(2)
    ]
    assert [reply.status for reply in replies] == [200, 200]
    assert replies[0].body == replies[1].body
    assert len(cluster.get(ledger.address, '/executions').json()) == 1
