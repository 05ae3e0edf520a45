"""Tests of the uwsgi parsers' limits: what a head may cost while its body is awaited."""

from __future__ import annotations

import gc
import tracemalloc

import pytest

from lapishaven.frontends.uwsgi import VARIABLES
from lapishaven.proto import TooLargeError
from lapishaven.proto import uwsgi as proto

PARSERS = 200
MAX_MEMORY_FACTOR = 2  # bytes held by a byte received


def head(variables: list[tuple[bytes, bytes]]) -> bytes:
    """A packet with these variables, whose body of 2 KiB is still to come."""
    block = b"".join(
        proto.STRING_LENGTH.pack(len(text)) + text
        for variable in [(b"CONTENT_LENGTH", b"2048"), *variables]
        for text in variable
    )
    assert len(block) <= proto.MAX_VARIABLES_BYTES
    return proto.PACKET_HEADER.pack(0, len(block), 0) + block


MANY_SHORT = [(b"%x" % number, b"") for number in range(2300)]
AS_MANY_AS_ALLOWED = [(b"%x" % number, b"") for number in range(proto.MAX_VARIABLES - 1)]
ONE_LONG = [(b"PATH_INFO", b"/" * 16_000)]


@pytest.mark.parametrize("variables", [MANY_SHORT, AS_MANY_AS_ALLOWED, ONE_LONG], ids=["many", "allowed", "long"])
def test_a_head_takes_little_more_memory_than_its_bytes(variables: list[tuple[bytes, bytes]]) -> None:
    """Guards against heads of very many short fields, which as dictionaries took ten times their bytes, so that some
    hundreds of connections that withheld their bodies took the process past its memory."""
    data = head(variables)
    parsers = [proto.RequestParser(VARIABLES) for _ in range(PARSERS)]
    gc.collect()
    tracemalloc.start()
    try:
        for parser in parsers:
            try:
                assert parser.feed(data) is None
            except TooLargeError:
                assert variables is MANY_SHORT
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    # In the allowed case no variable is wanted, so the parser's own objects outweigh what it holds.
    assert held < PARSERS * MAX_MEMORY_FACTOR * max(len(data), 1024)


def test_too_many_variables_are_refused_before_all_are_read() -> None:
    """Guards against heads that take the loop's time: thousands of fields, on hundreds of connections at once."""
    proto.RequestParser().feed(head(AS_MANY_AS_ALLOWED))
    with pytest.raises(TooLargeError, match="more than 256 variables"):
        proto.RequestParser().feed(head([*AS_MANY_AS_ALLOWED, (b"one", b"more")]))


def test_the_wanted_variables_are_kept_and_no_others() -> None:
    """Guards the mend of the test above: what the frontend reads is there, in any order."""
    variables = {"HTTP_COOKIE": "a", "PATH_INFO": "/match/x", "HTTP_X_TEAM": "t", "HTTP_ACCEPT": "b", "REQUEST_URI": ""}
    request = proto.RequestParser(VARIABLES).feed(proto.encode_request(variables, b"body"))
    assert request is not None
    assert request.variables == {
        "PATH_INFO": "/match/x",
        "HTTP_X_TEAM": "t",
        "REQUEST_URI": "",
        "CONTENT_LENGTH": "4",
    }
    whole = proto.RequestParser().feed(proto.encode_request(variables, b"body"))
    assert whole is not None and whole.variables == {**variables, "CONTENT_LENGTH": "4"}
