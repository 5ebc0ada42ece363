"""Conversion between protobuf messages and the package's data classes."""

import zlib
from datetime import UTC, datetime, timedelta

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.peers.generated.peers_pb2 import (
    MemberUpdate,
    NoticeUpdate,
    PullTextReply,
)
from sassafrasdale.peers.structures import Member, MemberState
from sassafrasdale.structures import Address, Notice

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MILLISECOND = timedelta(milliseconds=1)


def member_to_message(member: Member) -> MemberUpdate:
    """Return the message for ``member``."""
    return MemberUpdate(
        name=member.name,
        availability_zone=member.availability_zone,
        address=str(member.address),
        peer_address=str(member.peer_address),
        state=int(member.state),
        incarnation=member.incarnation,
    )


def member_from_message(message: MemberUpdate) -> Member:
    """Return the member in ``message``.

    :raises ValueError: if an address or the state is malformed.
    """
    return Member(
        name=message.name,
        availability_zone=message.availability_zone,
        address=Address.parse(message.address),
        peer_address=Address.parse(message.peer_address),
        state=MemberState(message.state),
        incarnation=message.incarnation,
    )


def notice_to_message(notice: Notice) -> NoticeUpdate:
    """Return the message for ``notice``."""
    return NoticeUpdate(
        sequence=notice.sequence,
        instance=notice.instance,
        leaves_at_ms=(notice.leaves_at - EPOCH) // MILLISECOND,
    )


def notice_from_message(message: NoticeUpdate) -> Notice:
    """Return the notice in ``message``."""
    return Notice(
        sequence=message.sequence,
        instance=message.instance,
        leaves_at=EPOCH + message.leaves_at_ms * MILLISECOND,
    )


def fill_text(reply: PullTextReply, record: TextRecord) -> None:
    """Put ``record`` into ``reply``."""
    reply.revision = record.revision
    reply.edit_id = record.edit_id
    reply.author = record.author
    reply.accepted_at = record.accepted_at.isoformat()
    reply.compressed_text = zlib.compress(record.text.encode())


def text_from_message(message: PullTextReply) -> TextRecord | None:
    """Return the record in ``message``, or None if it has none."""
    if not message.revision:
        return None
    return TextRecord(
        revision=message.revision,
        edit_id=message.edit_id,
        author=message.author,
        accepted_at=datetime.fromisoformat(message.accepted_at),
        text=zlib.decompress(message.compressed_text).decode(),
    )
