"""Header fields that concern one connection only (RFC 9110, section 7.6.1)."""

from peridotwell.forwarding.adapters import HeaderFields

__all__ = ('end_to_end_fields',)

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def end_to_end_fields(fields: HeaderFields) -> HeaderFields:
    """Return the fields that are forwarded, with names in lower case.

    `Content-Length` is left out too, because the writer of the body sets it.
    """
    lowered = tuple((name.lower(), text) for name, text in fields)
    named = {
        token.strip().lower()
        for name, text in lowered
        if name == b'connection'
        for token in text.split(b',')
    }
    dropped = HOP_BY_HOP | named
    return tuple((name, text) for name, text in lowered if name not in dropped)
