"""The datagrams of load probes. The load report itself is encoded by ``load_balancing.load_report``.

An answer is never longer than its probe, so that a process cannot be used for an amplification attack with forged
sender addresses.
"""

from __future__ import annotations

from struct import Struct

from lapishaven.proto import ProtocolError

HEADER = Struct("<4sI")  # magic, probe id
PROBE_MAGIC, ANSWER_MAGIC = b"LQ1?", b"LQ1!"
MAX_REPORT_BYTES = 24
PROBE_BYTES = HEADER.size + MAX_REPORT_BYTES


def encode_probe(probe_id: int) -> bytes:
    """Encode a probe; its answer carries the same 32-bit id."""
    return HEADER.pack(PROBE_MAGIC, probe_id).ljust(PROBE_BYTES, b"\0")


def decode_probe(data: bytes) -> int:
    """The id of a probe. Raises ``ProtocolError`` if ``data`` is not a probe."""
    if len(data) != PROBE_BYTES or not data.startswith(PROBE_MAGIC):
        raise ProtocolError(f"not a load probe: {data[:32]!r}")
    return int(HEADER.unpack_from(data)[1])


def encode_answer(probe_id: int, report: bytes) -> bytes:
    """Encode the answer to a probe."""
    return HEADER.pack(ANSWER_MAGIC, probe_id) + report[:MAX_REPORT_BYTES]


def decode_answer(data: bytes) -> tuple[int, bytes]:
    """The probe id and the encoded report of an answer. Raises ``ProtocolError`` if ``data`` is not an answer."""
    if not HEADER.size < len(data) <= PROBE_BYTES or not data.startswith(ANSWER_MAGIC):
        raise ProtocolError(f"not an answer to a load probe: {data[:32]!r}")
    return int(HEADER.unpack_from(data)[1]), data[HEADER.size :]
