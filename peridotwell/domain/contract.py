"""Contracts: what a pool of targets promises to the router."""

import msgspec

__all__ = ('Contract',)

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How requests under one path prefix may be handled.

    `pool` names the pool that serves the prefix. Requests with a method in
    `repeatable_methods` may be sent again after a doubtful failure. Targets
    with `echoes_request_id` return X-Request-Id with every answer; an answer
    with another request's id is refused in any case.
    """

    prefix: str
    pool: str
    repeatable_methods: tuple[str, ...] = SAFE_METHODS
    echoes_request_id: bool = False
