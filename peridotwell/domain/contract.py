"""Contracts: how a pool of targets may be used by the router."""

import msgspec

__all__ = ('Contract',)

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How requests under one path prefix may be handled.

    `pool` names the pool that serves the prefix. Requests with a method in
    `repeatable_methods` may be sent again when their outcome is unknown. With
    `echoes_request_id`, targets return X-Request-Id with every response. A
    response with another request's id is always rejected.
    """

    prefix: str
    pool: str
    repeatable_methods: tuple[str, ...] = SAFE_METHODS
    echoes_request_id: bool = False
