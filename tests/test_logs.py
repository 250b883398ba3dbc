"""Tests that log lines have the bound fields and contain no key secret."""

import io
import json
import unittest

from loguru import logger

from sardinedrift import logs
from sardinedrift.identifiers import Identity
from sardinedrift.settings import Logs

SECRET = "sdk_q0nWmOgv5TwfjvWsI1pXw9C2RzO6iV3X"
FOREIGN_SECRET = "not-made-by-us-1234"


class LogsTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logger.remove)
        self.stream = io.StringIO()

    def write_lines(self, log_format):
        identity = Identity("e1", "dc1", "127.0.0.1:1")
        logs.configure(Logs(format=log_format), identity, self.stream)
        logger.info("received key {}", SECRET)
        logger.bind(header=SECRET).warning("bound")
        logger.info("{}", {"Sardinedrift-Key": FOREIGN_SECRET})
        logger.info("{}", [(b"Sardinedrift-Key", FOREIGN_SECRET.encode())])
        try:
            raise ValueError(f"wrong {SECRET}")
        except ValueError:
            logger.exception("failed")
        return self.stream.getvalue()

    def test_no_secret_in_either_format(self):
        """Guards against keys in messages, fields and exceptions."""
        for log_format in ("text", "json"):
            text = self.write_lines(log_format)
            self.assertNotIn(SECRET[4:], text, log_format)
            self.assertNotIn(FOREIGN_SECRET, text, log_format)
            self.assertIn("[key]", text, log_format)

    def test_json_lines_carry_the_bound_fields(self):
        lines = self.write_lines("json").splitlines()
        for line in map(json.loads, lines):
            self.assertEqual(line["instance"], "e1")
            self.assertEqual(line["data_centre"], "dc1")
        self.assertEqual(len(lines), 5)
