"""SCRAM-SHA-256 verifiers in the form that PostgreSQL uses."""

import base64
import hashlib
import hmac
import secrets
import stringprep
import unicodedata

DEFAULT_ITERATIONS = 4096
SALT_BYTES = 16


def make_verifier(
    password: str, *, salt: bytes | None = None, iterations: int = DEFAULT_ITERATIONS
) -> str:
    """Returns a verifier, which allows ``password`` to be checked but does not reveal it.

    ``salt`` is random by default; pass it only to compare the result with a known verifier.
    """
    salt = secrets.token_bytes(SALT_BYTES) if salt is None else salt
    prepared = _prepare(password).encode()
    salted = hashlib.pbkdf2_hmac("sha256", prepared, salt, iterations)
    client_key = hmac.digest(salted, b"Client Key", "sha256")
    stored_key = hashlib.sha256(client_key).digest()
    server_key = hmac.digest(salted, b"Server Key", "sha256")
    return (
        f"SCRAM-SHA-256${iterations}:{_base64(salt)}"
        f"${_base64(stored_key)}:{_base64(server_key)}"
    )


def _base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _prepare(password: str) -> str:
    """Applies SASLprep (RFC 4013).

    A password that SASLprep rejects stays unchanged, as in PostgreSQL.
    """
    mapped = "".join(
        " " if stringprep.in_table_c12(char) else char
        for char in password
        if not stringprep.in_table_b1(char)
    )
    normalized = unicodedata.ucd_3_2_0.normalize("NFKC", mapped)
    if not normalized or _is_prohibited(normalized):
        return password
    return normalized


_PROHIBITED_TABLES = (
    stringprep.in_table_a1,
    stringprep.in_table_c12,
    stringprep.in_table_c21_c22,
    stringprep.in_table_c3,
    stringprep.in_table_c4,
    stringprep.in_table_c5,
    stringprep.in_table_c6,
    stringprep.in_table_c7,
    stringprep.in_table_c8,
    stringprep.in_table_c9,
)


def _is_prohibited(text: str) -> bool:
    if any(table(char) for char in text for table in _PROHIBITED_TABLES):
        return True
    if not any(stringprep.in_table_d1(char) for char in text):
        return False
    has_left_to_right = any(stringprep.in_table_d2(char) for char in text)
    is_enclosed = stringprep.in_table_d1(text[0]) and stringprep.in_table_d1(text[-1])
    return has_left_to_right or not is_enclosed
