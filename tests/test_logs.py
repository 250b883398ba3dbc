"""Logs: bound fields on every line, no key secret in any."""

import io
import json
import unittest

from loguru import logger

from sardinedrift import logs
from sardinedrift.identifiers import Identity
from sardinedrift.settings import Logs

SECRET = "sdk_q0nWmOgv5TwfjvWsI1pXw9C2RzO6iV3X"
FOREIGN = "not-made-by-us-1234"


class LogsTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logger.remove)
        self.stream = io.StringIO()

    def write(self, form):
        identity = Identity("e1", "dc1", "127.0.0.1:1")
        logs.configure(Logs(format=form), identity, self.stream)
        logger.info("a key {} came", SECRET)
        logger.bind(header=SECRET).warning("bound")
        logger.info("{}", {"Sardinedrift-Key": FOREIGN})
        logger.info("{}", [(b"Sardinedrift-Key", FOREIGN.encode())])
        try:
            raise ValueError(f"wrong {SECRET}")
        except ValueError:
            logger.exception("failed")
        return self.stream.getvalue()

    def test_no_secret_in_either_form(self):
        """Guards against keys in messages, fields and exceptions."""
        for form in ("text", "json"):
            text = self.write(form)
            self.assertNotIn(SECRET[4:], text, form)
            self.assertNotIn(FOREIGN, text, form)
            self.assertIn("[key]", text, form)

    def test_json_lines_carry_the_bound_fields(self):
        lines = self.write("json").splitlines()
        for line in map(json.loads, lines):
            self.assertEqual(line["instance"], "e1")
            self.assertEqual(line["data_centre"], "dc1")
        self.assertEqual(len(lines), 5)
