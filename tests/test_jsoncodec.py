"""Tests of decoding JSON that other processes have written."""

import json
import unittest

import hypothesis
import msgspec
from hypothesis import strategies as st

from sardinedrift.jsoncodec import (
    MAX_DEPTH,
    cut_deep_values,
    decode_json,
    is_too_deep,
)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def nested(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


class NestingTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(VALUES, st.integers(1, 40))
    def test_only_deep_values_are_cut(self, value, extra):
        """Guards against brackets in strings that count as nesting."""
        shallow = json.dumps(value).encode()
        self.assertEqual(cut_deep_values(shallow), shallow)
        self.assertFalse(is_too_deep(shallow))
        deep = b'{"a":' + nested(MAX_DEPTH + extra) + b',"b":' + shallow + b"}"
        self.assertTrue(is_too_deep(deep))
        cut = json.loads(cut_deep_values(deep))
        self.assertEqual(cut["b"], value)
        self.assertFalse(is_too_deep(cut_deep_values(deep)))

    def test_malformed_data_stays_malformed(self):
        """Guards against data that is cut into something valid."""
        for data in (b"[" * 500, b"]" * 500, b'"' + b"[" * 500, b'"\\', b""):
            with self.subTest(data=data[:5]):
                with self.assertRaises(msgspec.DecodeError):
                    decode_json(cut_deep_values(data), object)
                with self.assertRaises(msgspec.DecodeError):
                    decode_json(data, object)

    def test_nesting_beyond_the_stack_is_malformed(self):
        """Guards against an error of another type for deep nesting."""
        with self.assertRaises(msgspec.DecodeError):
            decode_json(nested(100_000), object)
