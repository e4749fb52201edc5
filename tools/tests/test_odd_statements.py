"""Tests of the comparison of what instances ran with what was sent."""

import random
import unittest

from odd_statements import SentStatement, SentStatements, Texts

CHANGES = {
    "text": {"text": "READ x "},
    "prepared": {"prepared": {"is_write": False, "shape": "q1", "arguments": None}},
    "values": {"values": ["zone=blue "]},
    "transaction": {"in_transaction": True},
}
PREPARED_CHANGES = {
    "access": {"is_write": False},
    "shape": {"shape": "q1  all"},
    "arguments": {"arguments": None},
}


def run(request, connection=1, **fields):
    plain = {
        "id": request,
        "instance": "i-a",
        "connection": connection,
        "text": "READ x",
        "prepared": None,
        "values": ["zone=blue"],
        "in_transaction": False,
    }
    return {**plain, **fields}


def sent_statements():
    sent = SentStatements()
    sent.sent["plain"] = SentStatement("new", "READ x", None, ["zone=blue"])
    prepared = (True, "q1 all", "x  y")
    sent.sent["prepared"] = SentStatement("old", "EXECUTE s x  y", prepared, ["zone=blue"])
    for request, transaction in [("t1", 1), ("t2", 1), ("u1", 2)]:
        values = ["zone=blue"]
        sent.sent[request] = SentStatement("new", "READ x", None, values, transaction)
    return sent


class ComparisonTest(unittest.TestCase):
    def test_a_run_as_sent_has_no_difference(self):
        # A comparison that reports too much hides what matters.
        self.assertEqual(sent_statements().compare(run("plain")), ("new", ""))
        prepared = {"is_write": True, "shape": "q1 all", "arguments": "x  y"}
        found = run("prepared", text="EXECUTE other x  y", prepared=prepared)
        self.assertEqual(sent_statements().compare(found), ("old", ""))

    def test_every_changed_field_is_reported(self):
        # A comparison that overlooks a field passes every run.
        for field, change in CHANGES.items():
            self.assertEqual(sent_statements().compare(run("plain", **change)), ("new", field))
        for field, change in PREPARED_CHANGES.items():
            prepared = {"is_write": True, "shape": "q1 all", "arguments": "x  y", **change}
            found = run("prepared", prepared=prepared)
            self.assertEqual(sent_statements().compare(found), ("old", field))
        self.assertEqual(sent_statements().compare(run("prepared")), ("old", "prepared"))
        self.assertEqual(sent_statements().compare(run("unknown")), ("no", "nobody sent it"))

    def test_transactions_that_mix_are_reported(self):
        # Each statement by itself is as sent.
        cases = {
            "on another connection than its transaction": [("t1", 1), ("t2", 2)],
            "another statement ran inside the transaction": [("t1", 1), ("u1", 1), ("t2", 1)],
            "": [("t1", 1), ("u1", 2), ("t2", 1)],
        }
        for difference, runs in cases.items():
            sent = sent_statements()
            for request, connection in runs:
                _, found = sent.compare(run(request, connection, in_transaction=True))
            self.assertEqual(found, difference)

    def test_acknowledged_statements_without_the_proof_of_a_run_are_reported(self):
        # An answer that no instance gave looks like a success.
        sent = sent_statements()
        sent.compare(run("plain"))
        sent.acknowledged = [("plain", "i-a.plain")]
        self.assertEqual(sent.unproved(), [])
        for wrong in [("plain", "-"), ("plain", "i-b.plain"), ("prepared", "i-a.plain")]:
            sent.acknowledged = [wrong]
            self.assertEqual(len(sent.unproved()), 1, wrong)


class TextsTest(unittest.TestCase):
    def test_plain_texts_are_one_word_each(self):
        # Versions that can't carry other texts would be blamed for what they are known to change.
        texts = Texts(random.Random(1), is_plain=True)
        for _ in range(1_000):
            fields = [texts.word(), texts.text(), texts.name(), texts.request("p1n1")]
            self.assertFalse(any(" " in field for field in fields), fields)
            self.assertEqual(len(texts.arguments().split(" ")), 2)

    def test_other_texts_have_spaces_at_every_place(self):
        # Only such texts show where a message is split at the wrong place.
        texts = Texts(random.Random(1), is_plain=False)
        found = [texts.text() for _ in range(2_000)]
        self.assertTrue(any(text.startswith(" ") for text in found))
        self.assertTrue(any(text.endswith(" ") for text in found))
        self.assertTrue(any("  " in text.strip() for text in found))
        self.assertTrue(any(len(text) > 1_000 for text in found))
        self.assertFalse(any(not text or "\r" in text or "\n" in text for text in found))
        self.assertFalse(any(" " in texts.word() for _ in range(2_000)))


if __name__ == "__main__":
    unittest.main()
