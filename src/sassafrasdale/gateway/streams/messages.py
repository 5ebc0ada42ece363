"""Messages between gateways about the streams that have begun."""

from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.msgpack import Decoder, Encoder

from sassafrasdale.decisions.stream_versions import StreamBinding

STREAMS_TARGET = "/streams"
STREAM_QUERY_TARGET = "/streams/query"
# Bytes of a name; long enough that callers, who choose the ids, can't find a collision.
NAME_BYTES = 16
# Longer ids are not recorded.
MAX_ID_LENGTH = 128
# Longest time, in seconds, for which another gateway may have a record kept.
MAX_LIFE_S = 3600.0

Name = Annotated[bytes, Meta(min_length=NAME_BYTES, max_length=NAME_BYTES)]
Text = Annotated[str, Meta(max_length=256)]
Life = Annotated[float, Meta(ge=0, le=MAX_LIFE_S)]


class StreamRow(Struct, frozen=True, array_like=True):
    """A stream that has begun.

    :param name: digest of the customer and the id of the attempt that began it.
    :param left_s: time in seconds for which its caller may take it up.
    """

    name: Name
    service: Text
    version: Text
    left_s: Life

    @property
    def binding(self) -> StreamBinding:
        """What the stream is bound to."""
        return StreamBinding(self.service, self.version)


class StreamRows(Struct, frozen=True, array_like=True):
    """Streams that a gateway reports to its aggregator.

    :param sender: its name.
    """

    sender: str
    rows: tuple[StreamRow, ...]


class StreamUpdate(Struct, frozen=True, array_like=True):
    """Streams of a zone, from its aggregator to another.

    :param since: the sender's number of the row before these.
    :param until: its number of the last of them.
    :param received: number of the last row that the sender has received from the
        receiver.
    :param received_from: incarnation of the receiver that sent that row.
    """

    since: int
    until: int
    rows: tuple[StreamRow, ...]
    received: int
    received_from: int


class StreamQuery(Struct, frozen=True, array_like=True):
    """A query for one stream."""

    name: Name


class StreamAnswer(Struct, frozen=True, array_like=True):
    """The answer to a query; without a row, the stream is not known."""

    row: StreamRow | None = None


encode = Encoder().encode
STREAM_ROWS = Decoder(StreamRows)
STREAM_QUERY = Decoder(StreamQuery)
STREAM_ANSWER = Decoder(StreamAnswer)


def stream_name(customer: str, request_id: str) -> bytes | None:
    """Return the name of the stream that an attempt began; None if it can't have one.

    :param customer: name of the customer; empty for a public route.
    """
    if not request_id or len(request_id) > MAX_ID_LENGTH:
        return None
    digest = blake2b(digest_size=NAME_BYTES)
    for part in (customer, request_id):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    return digest.digest()
