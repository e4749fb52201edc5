"""Tests of SCRAM verifiers."""

import base64
import unittest

from jujubehold_operator import make_verifier


class ScramTest(unittest.TestCase):
    def test_the_keys_of_rfc_7677(self) -> None:
        # The RFC gives the salt, the iteration count and the exchange; the Rust tests check that
        # the proof in that exchange matches these keys.
        salt = base64.b64decode("W22ZaJ0SNY7soEsUEjb6gQ==")
        self.assertEqual(
            make_verifier("pencil", salt=salt, iterations=4096),
            "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ=="
            "$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY="
            ":wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=",
        )

    def test_each_verifier_has_its_own_salt(self) -> None:
        self.assertNotEqual(make_verifier("pencil"), make_verifier("pencil"))

    def test_equivalent_forms_of_a_password_give_the_same_verifier(self) -> None:
        salt = bytes(16)
        self.assertEqual(
            make_verifier("I\u00adX \u2168", salt=salt), make_verifier("IX IX", salt=salt)
        )


if __name__ == "__main__":
    unittest.main()
