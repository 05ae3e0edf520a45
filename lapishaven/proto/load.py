"""Datagrams that probe a process for its load report. ``load_balancing.load_report`` encodes the report itself.

An answer is never longer than its probe, so that nobody's address can be flooded through a process (amplification).
"""

from __future__ import annotations

from struct import Struct

from lapishaven.proto import ProtocolError

HEADER = Struct("<4sI")  # magic, probe id
PROBE_MAGIC, ANSWER_MAGIC = b"LQ1?", b"LQ1!"
MAX_REPORT_BYTES = 24
PROBE_BYTES = HEADER.size + MAX_REPORT_BYTES


def encode_probe(probe_id: int) -> bytes:
    """A probe; the answer bears its 32-bit id."""
    return HEADER.pack(PROBE_MAGIC, probe_id).ljust(PROBE_BYTES, b"\0")


def decode_probe(data: bytes) -> int:
    """The id of a probe. Raises ``ProtocolError``."""
    if len(data) != PROBE_BYTES or not data.startswith(PROBE_MAGIC):
        raise ProtocolError("no question for the load")
    return int(HEADER.unpack_from(data)[1])


def encode_answer(probe_id: int, report: bytes) -> bytes:
    """The answer to a probe."""
    return HEADER.pack(ANSWER_MAGIC, probe_id) + report[:MAX_REPORT_BYTES]


def decode_answer(data: bytes) -> tuple[int, bytes]:
    """The id and the encoded report of an answer. Raises ``ProtocolError``."""
    if not HEADER.size < len(data) <= PROBE_BYTES or not data.startswith(ANSWER_MAGIC):
        raise ProtocolError("no answer to a question for the load")
    return int(HEADER.unpack_from(data)[1]), data[HEADER.size :]
