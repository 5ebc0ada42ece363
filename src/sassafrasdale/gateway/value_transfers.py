"""Transfers of the store's values from one gateway to another.

A configuration may take hundreds of kilobytes, and all gateways of a zone fetch a
change from the same one at once. So long values are compressed.
"""

import zlib
from functools import lru_cache

from sassafrasdale.gateway.peer_states import (
    STORE_VALUES,
    MessageMalformed,
    StoreValues,
    encode,
)
from sassafrasdale.http.body_budget import MAX_CONTROL_BODY_BYTES
from sassafrasdale.http.messages import Request, Response

# Content coding of HTTP for the zlib format.
CODING = "deflate"
ACCEPTS_CODING = ("accept-encoding", CODING)
USES_CODING = ("content-encoding", CODING)
# Shorter values fit into a few packets.
MIN_COMPRESSED_BYTES = 4096


def values_response(request: Request, values: StoreValues | None) -> Response:
    """Return the response to a request for changes, compressed if that is accepted.

    :param values: the changes, or None if there is no such prefix.
    """
    if values is None:
        return Response(404)
    body = encode(values)
    if len(body) < MIN_COMPRESSED_BYTES or ACCEPTS_CODING not in request.headers:
        return Response(200, body=body)
    return Response(200, (USES_CODING,), _compress(body))


# Gateways that hold the same revision ask for the same changes.
@lru_cache(maxsize=4)
def _compress(body: bytes) -> bytes:
    return zlib.compress(body)


def read_values(response: Response) -> StoreValues:
    """Return the changes in a response.

    :raises MessageMalformed: if they can't be decoded.
    """
    body = response.body
    if USES_CODING in response.headers:
        body = _decompress(body)
    return STORE_VALUES.decode(body)


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_CONTROL_BODY_BYTES)
    except zlib.error as error:
        raise MessageMalformed(f"malformed values: {error}") from error
    if not decompressor.eof:
        raise MessageMalformed(
            f"values cut off, or over {MAX_CONTROL_BODY_BYTES} bytes"
        )
    return data
