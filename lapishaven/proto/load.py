"""Questions for a process's load, and their answers, as datagrams. No answer is longer than its question, so that no
stranger's address can be flooded through one. The word of load itself is ``spread.news``'s."""

from __future__ import annotations

from struct import Struct

from lapishaven.proto import ProtocolError

HEAD = Struct("<4sI")
ASK, ANSWER = b"LQ1?", b"LQ1!"
WORD_LIMIT = 24
LENGTH = HEAD.size + WORD_LIMIT


def encode_probe(id: int) -> bytes:
    """A question; ``id`` comes back with its answer."""
    return HEAD.pack(ASK, id).ljust(LENGTH, b"\0")


def decode_probe(data: bytes) -> int:
    """The id of a question; raises ``ProtocolError``."""
    if len(data) != LENGTH or data[:4] != ASK:
        raise ProtocolError("no question for the load")
    return int(HEAD.unpack_from(data)[1])


def encode_answer(id: int, word: bytes) -> bytes:
    return HEAD.pack(ANSWER, id) + word[:WORD_LIMIT]


def decode_answer(data: bytes) -> tuple[int, bytes]:
    """The id and the word of an answer; raises ``ProtocolError``."""
    if not HEAD.size < len(data) <= LENGTH or data[:4] != ANSWER:
        raise ProtocolError("no answer to a question for the load")
    return int(HEAD.unpack_from(data)[1]), data[HEAD.size :]
