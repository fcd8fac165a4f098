"""Tests that rows and messages of a newer revision, with more fields, stay readable."""

from __future__ import annotations

import json
from dataclasses import dataclass

import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from jayyoke.core.config import Configuration
from jayyoke.core.error import InvalidDocument
from jayyoke.core.move import Move, OutcomeCounts
from jayyoke.edge.moves import _parse_counts
from jayyoke.edge.relaymessage import decode_peer_answer
from jayyoke.ops.change import Delta, apply_delta
from jayyoke.ops.claim import Claim, decode_claim, encode_claim
from jayyoke.ops.evidencerows import _decode_totals
from jayyoke.ops.moverow import decode_move, encode_move
from jayyoke.ops.outbox import OutboxEntry, decode_entry, encode_entry
from jayyoke.ops.quarantinerows import decode_stored_part
from jayyoke.ops.reply import Reply, decode_reply, encode_reply
from jayyoke.parser.configuration import parse_document
from jayyoke.platform.table import Row
from jayyoke.utils.record import build_record

ENTRY = OutboxEntry(
    "late", "r", "t", "team", "c", "s", 1.0, "POST", "/", "", "text/plain", b"x", "k"
)


@dataclass(frozen=True, slots=True)
class Pair:
    first: int
    second: int = 2


class TestRecords:
    def test_unknown_fields_are_ignored_and_missing_ones_are_errors(self):
        """Guards against a row that cannot be read until every instance is upgraded."""
        assert build_record(Pair, {"first": 1, "third": 3}) == Pair(1, 2)
        with pytest.raises(TypeError):
            build_record(Pair, {"second": 1})

    @pytest.mark.parametrize(
        ("encode", "decode", "record"),
        [
            (encode_claim, decode_claim, Claim("t", "f", "r", "h", body=b"x")),
            (encode_entry, decode_entry, ENTRY),
            (encode_reply, decode_reply, Reply("team", "t", 5, body=b"x")),
            (encode_move, decode_move, Move("m", "pool", "v1", "v2", 0.0, 100.0)),
        ],
    )
    def test_row_with_one_field_more_is_read(self, encode, decode, record):
        """Guards against claims, replies and moves that are lost for one field more."""
        plain = json.loads(encode(record))
        assert decode(json.dumps({**plain, "added_later": [1]}).encode()) == record


class TestCounts:
    def test_counts_with_one_number_more_are_read(self):
        """Guards against evidence on a version that is dropped for one number more."""
        value = json.dumps([["v2", "r", 5, 1, 2, 9]]).encode()
        expected = {("v2", "r"): OutcomeCounts(5, 1, 2)}
        assert _decode_totals(value) == expected
        assert _parse_counts(Row("k", value, 1)) == expected

    def test_quarantined_part_with_a_larger_end_is_read(self):
        """Guards against a quarantine that is lifted for one field more."""
        value = json.dumps({"part": "p", "ends": [["e1", 7, "x"]], "more": 1}).encode()
        assert decode_stored_part(Row("k", value, 1)).ends == (("e1", 7),)


class TestConfiguration:
    SERVICE = {"protocol": "plain", "added_later": 1}

    def test_change_with_one_key_more_is_applied(self):
        """Guards against instances that stop at a change written by a newer revision."""
        delta = Delta({("services", "s"): self.SERVICE}, "d")
        assert "s" in apply_delta(Configuration(), delta, 1).services

    def test_operators_unknown_key_is_still_a_finding(self):
        """Guards against a misspelt key that an operator is not told of."""
        with pytest.raises(InvalidDocument):
            parse_document({"services": {"s": self.SERVICE}, "classes": {}, "teams": {}})


class TestPeerMessage:
    def test_answer_with_one_field_more_is_read(self):
        """Guards against tables and loads that are lost beside a newer peer."""
        buffer = TMemoryBuffer()
        out = TBinaryProtocol(buffer)
        out.writeStructBegin("FetchedTables")
        out.writeFieldBegin("added", TType.STRING, 60)
        out.writeString("x")
        out.writeFieldEnd()
        out.writeFieldBegin("loads", TType.STRUCT, 2)
        out.writeStructBegin("HeardLoads")
        for number, (kind, write, item) in enumerate(
            [
                (TType.STRING, out.writeString, "e1@1"),
                (TType.I32, out.writeI32, 4),
                (TType.I32, out.writeI32, 100),
                (TType.I32, out.writeI32, 1),
            ],
            start=1,
        ):
            # The last column has a number that no revision uses yet.
            out.writeFieldBegin("column", TType.LIST, number if number < 4 else 50)
            out.writeListBegin(kind, 1)
            write(item)
            out.writeListEnd()
            out.writeFieldEnd()
        out.writeFieldStop()
        out.writeStructEnd()
        out.writeFieldEnd()
        out.writeFieldStop()
        out.writeStructEnd()
        answer = decode_peer_answer("p", buffer.getvalue(), 10.0)
        assert [(load.incarnation, load.requests) for load in answer.loads] == [("e1@1", 4)]
