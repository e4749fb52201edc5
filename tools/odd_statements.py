"""Statements with texts of every form that the platform's protocol allows, and the comparison of what
instances ran with what was sent."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

# Words of the protocol, names that sessions share, and words of unusual characters.
WORDS = [
    "READ",
    "WRITE",
    "AFTER",
    "EXECUTE",
    "PREPARE",
    "SET",
    "QUERY",
    "COMMIT",
    "BEGIN",
    "-",
    "1.1",
    "s",
    "s1",
    "rq1",
    "wq1",
    "q1",
    "x",
    "größe",
    "名前",
    "😀",
    "it's",
    '"a""b"',
    "\\r\\n\\",
    "%s%00%20",
]
# Texts that contain separators, messages and the text of other statements.
TEXTS = [
    "q1",
    "q1 q1",
    "q1c READ dtjsvo",
    "q1 WRITE rp",
    "rp WRITE q1 WRITE rp",
    "AFTER 1.1 EXECUTE rq1 x",
    "QUERY x WRITE y z",
    "PREPARE s READ q1",
    "READ q1",
    "SET zone blue",
    "-",
    "x  y   z",
    " x",
    "x ",
    "  x  ",
    " ",
]
PLAIN_WORDS = ["s", "s1", "q1", "q2c", "x", "blue"]
# Names that all sessions use, so that each has its own statements and values under them.
SHARED_NAMES = ["s", "s1", "READ", "-", "größe", "rq1"]
PLAIN_NAMES = ["s", "s1", "s2"]
# One text or word in this many is long.
LONG_EVERY = 150
LONG_TEXT_PARTS = (1_000, 31_000)
LONG_WORD_PARTS = (100, 250)


class Texts:
    """A pseudorandom sequence of words and texts; plain ones are one word of a few letters."""

    def __init__(self, source: random.Random, is_plain: bool):
        self.random = source
        self.is_plain = is_plain

    def word(self) -> str:
        """Returns a text without spaces: a name, an item or a part of an id."""
        if self.is_plain:
            return f"{self.random.choice(PLAIN_WORDS)}{self.random.randrange(50)}"
        if self.random.randrange(LONG_EVERY) == 0:
            return self.long(["a", "Z", "9", "ß", "'", "%"], LONG_WORD_PARTS)
        word = self.random.choice(WORDS)
        more = self.random.choice([str(self.random.randrange(50)), self.random.choice(WORDS), "", ""])
        return word + more

    def text(self) -> str:
        """Returns the text of a last field: it may contain, start and end with spaces."""
        if self.is_plain:
            return self.word()
        if self.random.randrange(LONG_EVERY) == 0:
            return self.long(["a", "Z", "9", "ß", "'", " ", "READ "], LONG_TEXT_PARTS)
        text = self.random.choice(TEXTS)
        forms = [f"{text} {self.word()}", f"{self.word()} {text}", text, text]
        return self.random.choice(forms)

    def name(self) -> str:
        """Returns a name of a value or a prepared statement, mostly one that other sessions use."""
        names = PLAIN_NAMES if self.is_plain else SHARED_NAMES
        return self.random.choice(names) if self.random.random() < 0.8 else self.word()

    def arguments(self) -> str | None:
        """Returns what follows the name of an EXECUTE; None if nothing does."""
        item = self.word()
        if self.is_plain:
            return f"{item} {self.word()}"
        both = f"{item} {self.text()}"
        return self.random.choice([None, item, self.text(), both, both, both])

    def statement(self) -> str:
        """Returns a read or a write."""
        item = self.word()
        if self.is_plain:
            return self.random.choice([f"READ {item}", f"WRITE {item} {self.word()}"])
        read = self.random.choice([f"READ {item}", f"READ {self.text()}"])
        write = self.random.choice([f"WRITE {item}", f"WRITE {item} {self.text()}"])
        return self.random.choice([read, write])

    def request(self, unique: str) -> str:
        """Returns the id of a request; `unique` contains no dot and is part of no other id."""
        return unique if self.is_plain else f"{self.word()}.{unique}"

    def long(self, parts: list[str], counts: tuple[int, int]) -> str:
        return "".join(self.random.choices(parts, k=self.random.randrange(*counts)))


@dataclass
class SentStatement:
    """What a statement must run as, whenever and wherever it runs."""

    # The version of the host to which it was sent.
    version: str
    # The statement's text; hosts may replace the name of a prepared one.
    text: str
    # Whether it writes, its shape and its arguments, if it is a prepared one.
    prepared: tuple[bool, str, str | None] | None = None
    # The values that the session has set.
    values: list[str] = field(default_factory=list)
    # The number of the transaction; None outside one.
    transaction: int | None = None

    def difference(self, run: dict) -> str:
        """Returns the first field in which a run differs from what was sent; empty if none does."""
        ran = run["prepared"]
        ran_as = ran and (ran["is_write"], ran["shape"], ran["arguments"])
        names = ["access", "shape", "arguments"]
        if (ran_as is None) != (self.prepared is None):
            return "prepared"
        if self.prepared is None and run["text"] != self.text:
            return "text"
        for name, sent, found in zip(names, self.prepared or (), ran_as or ()):
            if sent != found:
                return name
        if run["values"] != self.values:
            return "values"
        if run["in_transaction"] != (self.transaction is not None):
            return "transaction"
        return ""


@dataclass
class SentStatements:
    """All statements that were sent, by id, and what instances ran of them."""

    sent: dict[str, SentStatement] = field(default_factory=dict)
    # The proofs of all runs. That of an instance of the stand-in is its id and that of the request.
    proofs: set[str] = field(default_factory=set)
    # The acknowledged requests with the proof in each answer.
    acknowledged: list[tuple[str, str]] = field(default_factory=list)
    # The connection of each transaction, and the transaction of the latest run on each connection.
    connections: dict[int, int] = field(default_factory=dict)
    current: dict[int, int | None] = field(default_factory=dict)
    ended: set[int] = field(default_factory=set)

    def compare(self, run: dict) -> tuple[str, str]:
        """Returns the version of the host that the statement was sent to and the difference, which is
        empty if the run is as sent."""
        self.proofs.add(f"{run['instance']}.{run['id']}")
        sent = self.sent.get(run["id"])
        if sent is None:
            return "no", "nobody sent it"
        difference = sent.difference(run) or self.transaction_difference(sent, run["connection"])
        return sent.version, difference

    def transaction_difference(self, sent: SentStatement, connection: int) -> str:
        # A transaction may be opened again elsewhere, but then none of its statements has run.
        previous = self.current.get(connection)
        self.current[connection] = sent.transaction
        if previous is not None and previous != sent.transaction:
            self.ended.add(previous)
        if sent.transaction is None:
            return ""
        if self.connections.setdefault(sent.transaction, connection) != connection:
            return "on another connection than its transaction"
        if sent.transaction in self.ended:
            return "another statement ran inside the transaction"
        return ""

    def unproved(self) -> list[str]:
        """Returns the acknowledged requests whose answer has no proof of an instance that ran them."""
        return [
            f"{request!r} was acknowledged by {proof!r}, which no instance ran"
            for request, proof in self.acknowledged
            if not proof.endswith(f".{request}") or proof not in self.proofs
        ]
