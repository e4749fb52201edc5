"""Runs two versions of the entry host side by side, and checks what callers and instances see.

    python3 tools/side_by_side.py OLD_COMMIT [--new COMMIT] [--seed N] [--pause S] [--way up|down|both] [--plain]

Builds both commits from this repository's history, each in a folder of its own below
target/side-by-side. Starts the stand-in of the users' platform and nine hosts in three failure
domains, each a process of its own on loopback: first all of the old version. Replaces them one after
the other by the new version, most by SIGTERM and some by SIGKILL, and back again. Meanwhile the
operators write a configuration every 0.8 s that adds a database and a key and drops an old one of each,
the store turns hosts away, primaries die, a customer sends more than its quota at every host, and
callers write and read, prepare statements, set values and run transactions. Their texts have every form
that the protocol allows, or with --plain one word, for versions that can't carry others.

Exits with 1 and prints the seed, the rule and what broke it if a rule is broken:

- in force: a host that has run for a while admits sessions for an added database or key, and rejects
  those for a dropped one, within 5 s;
- no return: a process that has shown one version of the configuration does not show an earlier one;
- own writes: a read of the primary's data returns the latest acknowledged write, unless the primary was
  replaced in between;
- as sent: what instances run has the text, the prepared shape and access, the arguments, the values and
  the transaction that its caller sent, every acknowledged statement ran, and instances can read every
  message;
- at most once: no instance runs a write twice;
- quota: in no window of 5 s do all hosts together run more operations of the customer than it may;
- shutdown: a host that gets SIGTERM answers every request that it had received.

Exits with 2 if a commit is missing, a build fails, a port is in use or a host ends by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from odd_statements import SentStatement, SentStatements, Texts

ROOT = Path(__file__).resolve().parent.parent
BUILDS = ROOT / "target" / "side-by-side"
DOMAINS = ["east", "west", "south"]
HOST_COUNT = 9
CALLER_COUNT = 6
# Callers that prepare statements, set values and run transactions.
STATEMENT_CALLER_COUNT = 12
DATABASES = {"newest": "primary", "own": "read_your_writes", "bounded": "bounded_staleness"}
CONFIGURATION_INTERVAL_S = 0.8
# The time within which a configuration takes effect everywhere.
CONFIGURATION_LIMIT_S = 5.0
# How long a host must have run, and the store must have served it, before a configuration has to
# take effect there.
SETTLING_S = 6.0
# How many versions a database stays in the configuration: longer than it may take to be in force.
KEPT_VERSIONS = 15
PROBED_VERSIONS = 30
PROBE_INTERVAL_S = 0.2
CALLERS_KEY = "callers"
LIMITED_KEY = "limited"
RATE_PER_S = 20
BURST = 10
QUOTA_WINDOW_S = 5.0
# (rate x window + burst) x (1 + excess) + slack, with the default excess and slack.
MAX_OPERATIONS = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * 1.1 + 20
# How long a customer that is at its quota waits before it asks again.
REFUSED_PAUSE_S = 0.02
# How often the runs of instances are compared with what was sent.
COMPARE_INTERVAL_S = 0.5
# How many differing statements are printed. All of them are counted.
PRINTED_DIFFERENCES = 20
PRINTED_CHARACTERS = 600
# The longest line that is received.
MAX_LINE_BYTES = 64 * 1024 * 1024
PRIMARY_LIFE_S = 12.0
PRIMARY_DEATH_S = 5.0
READY_TIMEOUT_S = 20.0
DRAIN_TIMEOUT_S = 4.0
STOP_TIMEOUT_S = DRAIN_TIMEOUT_S + 4.0
CALL_TIMEOUT_S = 6.0
KILL_SHARE = 0.25
STORE_FAULT_S = 4.0
# Ports do not depend on the seed, so that two runs of one seed can be made at once.
PORT_RANDOM = random.SystemRandom()
GIVEN_PORTS: set[int] = set()
# Longer than hosts that start for the first time admit no operation of a customer with a quota.
START_S = 22.0
# How long a request may take to arrive at a host on loopback.
ARRIVAL_S = 0.05


class SetupError(Exception):
    """The run can't be made, or a process ended by itself."""


@dataclass
class Violation:
    """A rule that was broken, and how."""

    rule: str
    detail: str


@dataclass
class Host:
    """One host and its process."""

    index: int
    caller_port: int
    readiness_port: int
    peer_port: int
    process: subprocess.Popen[bytes] | None = None
    version: str = ""
    # When the process was ready, or the store last turned it away.
    settled_at: float = float("inf")
    # When it got SIGTERM or SIGKILL; None while it runs.
    stopped_at: float | None = None
    is_killed: bool = False
    # The newest version of the configuration that this process has shown.
    shown_version: int = 0

    @property
    def name(self) -> str:
        return f"host-{self.index}"

    def is_settled(self, now: float) -> bool:
        return self.stopped_at is None and now >= self.settled_at + SETTLING_S


def free_port() -> int:
    """Returns a port that is free for TCP and UDP, below those that the system gives to connections.

    No port is returned twice: a host that is not running at the moment keeps its ports.
    """
    while True:
        port = PORT_RANDOM.randrange(15000, 30000)
        if port in GIVEN_PORTS:
            continue
        with contextlib.suppress(OSError), socket.socket() as stream:
            stream.bind(("127.0.0.1", port))
            with socket.socket(type=socket.SOCK_DGRAM) as datagram:
                datagram.bind(("127.0.0.1", port))
                GIVEN_PORTS.add(port)
                return port


def git(*arguments: str) -> str:
    result = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True)
    if result.returncode != 0:
        raise SetupError(f"git {' '.join(arguments)}: {result.stderr.strip()}")
    return result.stdout.strip()


def build(commit: str) -> Path:
    """Builds `commit` in a folder of its own, which is kept, and returns the program."""
    full = git("rev-parse", "--verify", f"{commit}^{{commit}}")
    folder = BUILDS / full[:12]
    program = folder / "target" / "release" / "jujubehold"
    if program.exists():
        return program
    if not folder.exists():
        folder.parent.mkdir(parents=True, exist_ok=True)
        git("clone", "--quiet", "--no-checkout", str(ROOT), str(folder))
        subprocess.run(["git", "checkout", "--quiet", full], cwd=folder, check=True)
    print(f"building {full[:12]} in {folder}", flush=True)
    command = ["cargo", "build", "--release", "--locked", "--bin", "jujubehold"]
    if subprocess.run(command, cwd=folder).returncode != 0:
        raise SetupError(f"{full[:12]} does not build")
    return program


class Control:
    """The control port of the stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.lock = asyncio.Lock()

    async def run(self, *words: str) -> str:
        async with self.lock:
            self.writer.write((" ".join(words) + "\n").encode())
            answer = (await self.reader.readline()).decode().strip()
        if answer.startswith("error"):
            raise SetupError(f"stand-in: {words[0]}: {answer}")
        return answer


class Session:
    """A caller's session."""

    def __init__(
        self,
        process: subprocess.Popen[bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.process = process
        self.reader = reader
        self.writer = writer
        # The letter of the transaction state.
        self.state = "I"

    @classmethod
    async def open(cls, host: Host, database: str, key: str) -> tuple[Session | None, str]:
        """Returns the session, or None and the line that refused it."""
        process = host.process
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", host.caller_port, limit=MAX_LINE_BYTES
        )
        session = cls(process, reader, writer)
        writer.write(f"START {database} {key}\r\n".encode())
        line = await session.line()
        if line.startswith("READY"):
            return session, line
        session.close()
        return None, line

    async def query(self, request: str, text: str) -> tuple[str, list[str]]:
        """Returns the line that states the outcome, and the rows; an empty line if the connection
        ended without an answer. The state of the session is kept."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        rows: list[str] = []
        outcome = ""
        while line := await self.line():
            if line.startswith("ROW "):
                rows.append(line.removeprefix("ROW "))
            elif line.startswith("READY"):
                self.state = line.split(" ")[1]
                return outcome, rows
            else:
                outcome = line
        return "", rows

    async def line(self) -> str:
        try:
            line = await asyncio.wait_for(self.reader.readline(), CALL_TIMEOUT_S)
        except (ConnectionError, asyncio.TimeoutError):
            return ""
        # A field may start or end with spaces.
        return line.decode().rstrip("\r\n")

    def close(self) -> None:
        self.writer.close()


@dataclass
class Run:
    """One run with two versions."""

    arguments: argparse.Namespace
    programs: dict[str, Path]
    folder: Path
    random: random.Random
    hosts: list[Host] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    # The versions of the configuration that were sent, in order.
    sent_versions: list[int] = field(default_factory=list)
    # When each of them was confirmed.
    confirmed_at: dict[int, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    # When the operations of the limited customer that ran were sent.
    limited_runs: list[float] = field(default_factory=list)
    # How often a primary died.
    primary_deaths: int = 0
    sent: SentStatements = field(default_factory=SentStatements)
    transaction_count: int = 0
    differences: int = 0
    control: Control | None = None
    is_over: bool = False

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def report(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(rule, detail))
        print(f"rule broken: {rule}: {detail}", flush=True)

    async def start_platform(self) -> subprocess.Popen[bytes]:
        port = free_port()
        command = [str(self.programs["new"]), "standin-users-platform"]
        command += ["--control", f"127.0.0.1:{port}", "--hosts", str(HOST_COUNT)]
        command += ["--max-connections", str(self.arguments.max_connections)]
        process = subprocess.Popen(command)
        for _ in range(100):
            with contextlib.suppress(OSError):
                opened = await asyncio.open_connection("127.0.0.1", port, limit=MAX_LINE_BYTES)
                self.control = Control(*opened)
                return process
            await asyncio.sleep(0.05)
        process.kill()
        raise SetupError("the stand-in does not start")

    async def start_host(self, host: Host, version: str, is_first_start: bool) -> None:
        settings = self.folder / f"{host.name}.ini"
        store = await self.control.run("store", str(host.index))
        promotion = await self.control.run("promotion")
        lines = [
            "[entry]",
            f"name = {host.name}",
            f"domain = {DOMAINS[host.index % len(DOMAINS)]}",
            f"caller_address = 127.0.0.1:{host.caller_port}",
            f"readiness_address = 127.0.0.1:{host.readiness_port}",
            f"peer_address = 127.0.0.1:{host.peer_port}",
            f"store_address = {store}",
            f"promotion_address = {promotion}",
            f"drain_timeout_s = {DRAIN_TIMEOUT_S}",
            f"first_start = {'true' if is_first_start else 'false'}",
        ]
        settings.write_text("\n".join(lines) + "\n")
        log = (self.folder / f"{host.name}.log").open("ab")
        command = [str(self.programs[version]), "entry", "--settings", str(settings)]
        host.process = subprocess.Popen(command, stdout=log, stderr=log)
        host.version = version
        host.is_killed = False
        host.stopped_at = None
        host.shown_version = 0
        host.settled_at = float("inf")

    async def wait_until_ready(self, host: Host) -> None:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if host.process.poll() is not None:
                raise SetupError(f"{host.name} ({host.version}) ended: {self.last_line(host)}")
            if await is_ready(host):
                host.settled_at = time.monotonic()
                return
            await asyncio.sleep(0.05)
        raise SetupError(f"{host.name} ({host.version}) does not become ready")

    def last_line(self, host: Host) -> str:
        lines = (self.folder / f"{host.name}.log").read_text(errors="replace").splitlines()
        return lines[-1] if lines else "without a line in its log"

    async def stop_host(self, host: Host, number: signal.Signals) -> None:
        host.is_killed = number == signal.SIGKILL
        host.stopped_at = time.monotonic()
        host.process.send_signal(number)
        give_up_at = time.monotonic() + STOP_TIMEOUT_S
        while host.process.poll() is None:
            if time.monotonic() > give_up_at:
                self.report("shutdown", f"{host.name} ({host.version}) does not end")
                host.process.kill()
            await asyncio.sleep(0.02)

    async def replace_hosts(self, version: str) -> None:
        order = list(self.hosts)
        self.random.shuffle(order)
        for host in order:
            is_killed = self.random.random() < KILL_SHARE
            number = signal.SIGKILL if is_killed else signal.SIGTERM
            print(f"{host.name}: {number.name}, then {version}", flush=True)
            await self.stop_host(host, number)
            await self.start_host(host, version, is_first_start=False)
            await self.wait_until_ready(host)
            await asyncio.sleep(self.arguments.pause * self.random.uniform(0.5, 1.5))

    async def write_configurations(self) -> None:
        while not self.is_over:
            await self.write_configuration()
            await asyncio.sleep(CONFIGURATION_INTERVAL_S)

    async def write_configuration(self) -> None:
        version = (self.sent_versions or [0])[-1] + self.random.choice([1, 1, 2, 3])
        self.sent_versions.append(version)
        names = [f"version-{kept}" for kept in self.sent_versions[-KEPT_VERSIONS:]]
        more = {"tenants": customers(names)}
        await self.control.run("configure", str(version), routes(names), compact(more))
        self.confirmed_at[version] = time.monotonic()

    def oldest_kept(self, version: int) -> int:
        """Returns the oldest version whose database `version` still has."""
        sent = self.sent_versions
        return sent[max(0, sent.index(version) + 1 - KEPT_VERSIONS)]

    async def turn_hosts_away(self) -> None:
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(2.0, 6.0))
            host = self.random.choice(self.hosts)
            fault = self.random.choice([["silent"], ["status", "503"], ["delay_ms", "250"]])
            await self.control.run("fault", str(host.index), *fault)
            host.settled_at = float("inf")
            await asyncio.sleep(STORE_FAULT_S)
            await self.control.run("fault", str(host.index), "none")
            host.settled_at = time.monotonic()

    async def check_configuration(self, host: Host) -> None:
        while not self.is_over:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self.check_version(host, self.random.choice(self.sent_versions[-PROBED_VERSIONS:]))

    async def check_version(self, host: Host, version: int) -> None:
        """Asks the host for the database or the key of `version`, and checks whether it may know it."""
        sent_at = time.monotonic()
        process = host.process
        was_settled = host.is_settled(sent_at)
        name = f"version-{version}"
        database, key = self.random.choice([(name, CALLERS_KEY), ("newest", name)])
        try:
            session, line = await Session.open(host, database, key)
        except OSError:
            return
        if session:
            session.close()
        if process is not host.process or host.stopped_at is not None:
            return
        is_known = session is not None
        if not is_known and not line.startswith(("ERROR NODB", "ERROR NOAUTH")):
            return
        self.count("configuration checks")
        self.check_at_least(host, "no return", host.shown_version, version, is_known)
        if is_known:
            host.shown_version = max(host.shown_version, version)
        in_force = self.version_in_force(sent_at - CONFIGURATION_LIMIT_S)
        if in_force and was_settled and host.is_settled(time.monotonic()):
            self.check_at_least(host, "in force", in_force, version, is_known)

    def check_at_least(
        self, host: Host, rule: str, lowest: int, version: int, is_known: bool
    ) -> None:
        """Checks that the host uses the configuration `lowest` or a later one."""
        if lowest == 0:
            return
        is_dropped = version < self.oldest_kept(lowest)
        is_kept = version <= lowest and version >= self.oldest_kept(self.sent_versions[-1])
        if (is_known and is_dropped) or (not is_known and is_kept):
            does = "admits" if is_known else "rejects"
            self.report(
                rule,
                f"{host.name} ({host.version}) {does} a session for the database or key of "
                f"{version}, as before version {lowest}",
            )

    def version_in_force(self, confirmed_before: float) -> int | None:
        confirmed = self.confirmed_at.items()
        versions = [version for version, at in confirmed if at <= confirmed_before]
        return max(versions, default=None)

    async def call(self, number: int) -> None:
        item = f"item{number}"
        sequence = 0
        acknowledged, deaths = 0, self.primary_deaths
        while not self.is_over:
            host = self.random.choice(self.hosts)
            if host.stopped_at is not None:
                await asyncio.sleep(0.02)
                continue
            try:
                session, _ = await Session.open(host, "newest", CALLERS_KEY)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            if session is None:
                continue
            for _ in range(self.random.choice([1, 3, 30])):
                sequence += 1
                request = f"c{number}n{sequence}"
                # A promotion may roll back what was sent before the death of the primary.
                deaths_before = self.primary_deaths
                outcome, _ = await self.statement(host, session, request, f"WRITE {item} {sequence}")
                if not outcome:
                    break
                if outcome.startswith("COMPLETE"):
                    acknowledged, deaths = sequence, deaths_before
                    self.count("acknowledged writes")
                outcome, rows = await self.statement(host, session, f"r{request}", f"READ {item}")
                if not outcome:
                    break
                if outcome.startswith("COMPLETE") and deaths == self.primary_deaths:
                    self.check_read(host, request, rows, acknowledged)
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
            session.close()

    def check_read(self, host: Host, request: str, rows: list[str], acknowledged: int) -> None:
        self.count("reads")
        value = int(rows[0]) if rows and rows[0].isdigit() else 0
        if value < acknowledged:
            self.report(
                "own writes",
                f"read after {request} at {host.name} ({host.version}) returned {value}, "
                f"{acknowledged} was acknowledged",
            )

    async def statement(
        self,
        host: Host,
        session: Session,
        request: str,
        text: str,
        expected: SentStatement | None = None,
    ) -> tuple[str, list[str]]:
        """Runs a statement that must run as `expected`, or else as its text."""
        self.sent.sent[request] = expected or SentStatement(host.version, text)
        outcome, rows = await self.query(host, session, request, text)
        if outcome.startswith("COMPLETE "):
            self.sent.acknowledged.append((request, outcome.removeprefix("COMPLETE ")))
        return outcome, rows

    async def query(
        self, host: Host, session: Session, request: str, text: str
    ) -> tuple[str, list[str]]:
        """Runs a statement that no instance may run under its id, or that is expected already."""
        sent_at = time.monotonic()
        try:
            outcome, rows = await session.query(request, text)
        except OSError:
            outcome, rows = "", []
        self.count("statements")
        if not outcome and session.process is host.process and not host.is_killed:
            self.check_unanswered(host, request, sent_at)
        return outcome, rows

    def check_unanswered(self, host: Host, request: str, sent_at: float) -> None:
        # A host that stops closes idle sessions, so a request that is sent then may meet its close.
        self.count("requests without an answer")
        if host.stopped_at is None or sent_at < host.stopped_at - ARRIVAL_S:
            self.report("shutdown", f"{host.name} ({host.version}) did not answer {request}")

    async def call_with_statements(self, number: int) -> None:
        source = random.Random(f"{self.arguments.seed} {number}")
        caller = StatementCaller(self, number, Texts(source, self.arguments.plain), source)
        while not self.is_over:
            await asyncio.sleep(source.uniform(0.0, 0.02))
            host = source.choice(self.hosts)
            if host.stopped_at is not None:
                continue
            database = source.choice(list(DATABASES))
            with contextlib.suppress(OSError):
                session, _ = await Session.open(host, database, CALLERS_KEY)
                if session is not None:
                    await caller.use(host, session)
                    session.close()

    async def compare_runs(self) -> None:
        while not self.is_over:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            await self.compare_next_runs()

    async def compare_next_runs(self) -> None:
        while runs := json.loads(await self.control.run("runs")):
            for run in runs:
                self.compare_run(run)

    def compare_run(self, run: dict) -> None:
        version, difference = self.sent.compare(run)
        self.count("runs compared")
        if run["prepared"] is not None:
            self.count(f"prepared runs sent to {version} hosts")
        if difference:
            self.count(f"runs changed in {difference}, sent to {version} hosts")
            sent = self.sent.sent.get(run["id"])
            self.report_difference(f"{difference}: sent {sent}, ran {run}")

    def report_difference(self, detail: str) -> None:
        self.differences += 1
        if self.differences <= PRINTED_DIFFERENCES:
            self.report("as sent", detail[:PRINTED_CHARACTERS])

    async def check_as_sent(self) -> None:
        await self.compare_next_runs()
        for detail in self.sent.unproved():
            self.count("acknowledged without a run")
            self.report_difference(detail)
        for message in json.loads(await self.control.run("unreadable")):
            self.count("unreadable messages")
            self.report_difference(f"unreadable: {message!r}")

    async def exceed_quota(self, host: Host) -> None:
        number = 0
        while not self.is_over:
            await asyncio.sleep(REFUSED_PAUSE_S)
            try:
                session, _ = await Session.open(host, "newest", LIMITED_KEY)
            except OSError:
                continue
            while session and not self.is_over:
                number += 1
                sent_at = time.monotonic()
                outcome, _ = await self.statement(
                    host, session, f"l{host.index}n{number}", "READ limited"
                )
                if not outcome:
                    break
                if outcome.startswith("COMPLETE"):
                    self.count("limited operations")
                    self.limited_runs.append(sent_at)
                else:
                    await asyncio.sleep(REFUSED_PAUSE_S)
            if session:
                session.close()

    def check_quota(self) -> None:
        runs = sorted(self.limited_runs)
        begin = 0
        largest = 0
        for end, sent_at in enumerate(runs):
            while runs[begin] < sent_at - QUOTA_WINDOW_S:
                begin += 1
            largest = max(largest, end - begin + 1)
        self.counts["most limited operations in a window"] = largest
        if largest > MAX_OPERATIONS:
            self.report("quota", f"{largest} operations in a window, {MAX_OPERATIONS:.0f} may run")

    async def kill_primaries(self) -> None:
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * PRIMARY_LIFE_S)
            primary = await self.control.run("primary")
            self.primary_deaths += 1
            await self.control.run("kill", primary)
            self.primary_deaths += 1
            await asyncio.sleep(PRIMARY_DEATH_S)
            await self.control.run("revive", primary)

    async def check_at_most_once(self) -> None:
        repeated = await self.control.run("repeated")
        if repeated:
            self.report("at most once", f"writes ran twice: {repeated}")

    async def play(self) -> None:
        ways = {"up": ["new"], "down": ["old"], "both": ["new", "old"]}[self.arguments.way]
        first = "new" if ways == ["old"] else "old"
        ports = [(free_port(), free_port(), free_port()) for _ in range(HOST_COUNT)]
        self.hosts = [Host(index, *found) for index, found in enumerate(ports)]
        platform = await self.start_platform()
        try:
            await self.write_configuration()
            for host in self.hosts:
                await self.start_host(host, first, is_first_start=True)
            for host in self.hosts:
                await self.wait_until_ready(host)
            tasks = [self.write_configurations(), self.turn_hosts_away(), self.kill_primaries()]
            tasks += [self.exceed_quota(host) for host in self.hosts]
            tasks += [self.check_configuration(host) for host in self.hosts]
            tasks += [self.call(number) for number in range(CALLER_COUNT)]
            tasks += [self.call_with_statements(number) for number in range(STATEMENT_CALLER_COUNT)]
            tasks += [self.compare_runs()]
            running = [asyncio.create_task(task) for task in tasks]
            await asyncio.sleep(START_S)
            for version in ways:
                await self.replace_hosts(version)
            await asyncio.sleep(SETTLING_S)
            self.is_over = True
            for result in await asyncio.gather(*running, return_exceptions=True):
                if isinstance(result, Exception):
                    raise result
            await self.check_as_sent()
            await self.check_at_most_once()
            self.check_quota()
        finally:
            self.is_over = True
            self.control.writer.close()
            for process in [host.process for host in self.hosts] + [platform]:
                if process is not None and process.poll() is None:
                    process.kill()
                    process.wait()


class SessionEnded(Exception):
    """The session is closed, or its caller leaves."""


class StatementCaller:
    """A caller that prepares statements, sets values and runs transactions."""

    def __init__(self, run: Run, number: int, texts: Texts, source: random.Random):
        self.run = run
        self.number = number
        self.texts = texts
        self.random = source
        self.request_count = 0
        self.host: Host | None = None
        self.session: Session | None = None
        self.values: dict[str, str] = {}
        # Whether each of them writes, and its shape.
        self.statements: dict[str, tuple[bool, str]] = {}
        self.transaction: int | None = None

    async def use(self, host: Host, session: Session) -> None:
        """Uses the session until it is closed or the caller leaves."""
        self.host, self.session = host, session
        self.values, self.statements, self.transaction = {}, {}, None
        with contextlib.suppress(SessionEnded):
            while not self.run.is_over:
                await self.take_step()

    async def take_step(self) -> None:
        await self.pause()
        steps = [self.prepare, self.set_value, self.deallocate, self.run_text, self.execute]
        steps += [self.run_transaction, self.leave]
        await self.random.choices(steps, [22, 8, 4, 16, 30, 18, 2])[0]()

    async def run_transaction(self) -> None:
        begin = self.random.choice(["BEGIN", "BEGIN", "BEGIN READ"])
        if not (await self.query(begin)).startswith("COMPLETE"):
            return
        self.run.transaction_count += 1
        self.run.count("transactions")
        self.transaction = self.run.transaction_count
        steps = [self.run_text, self.execute, self.prepare, self.set_value, self.leave]
        for _ in range(self.random.randrange(6)):
            await self.pause()
            await self.random.choices(steps, [8, 8, 1, 1, 1])[0]()
            if self.session.state != "T":
                break
        end = self.random.choice(["COMMIT", "COMMIT", "ROLLBACK"])
        if end == "COMMIT":
            await self.statement(end)
        else:
            await self.query(end)
        self.transaction = None
        if self.session.state != "I":
            self.run.report_difference(f"{end} left the session in {self.session.state}")

    async def prepare(self) -> None:
        name, shape = self.texts.name(), self.texts.text()
        is_write = self.random.random() < 0.5
        access = "WRITE" if is_write else "READ"
        await self.change_session(f"PREPARE {name} {access} {shape}")
        self.run.count("prepares")
        self.statements[name] = (is_write, shape)

    async def set_value(self) -> None:
        name, value = self.texts.name(), self.texts.text()
        await self.change_session(f"SET {name} {value}")
        self.values[name] = value

    async def deallocate(self) -> None:
        name = self.texts.name()
        if name in self.statements:
            await self.change_session(f"DEALLOC {name}")
            del self.statements[name]

    async def run_text(self) -> None:
        await self.statement(self.texts.statement())

    async def execute(self) -> None:
        name = self.texts.name()
        arguments = self.texts.arguments()
        text = f"EXECUTE {name}" if arguments is None else f"EXECUTE {name} {arguments}"
        if name in self.statements:
            await self.statement(text, (*self.statements[name], arguments))
        elif self.random.random() < 0.75:
            await self.prepare()
        elif (await self.query(text)).startswith("COMPLETE"):
            self.run.report_difference(f"{text!r} succeeded, but was not prepared")

    async def leave(self) -> None:
        if self.random.random() < 0.5:
            request, text = self.next_request(), self.texts.statement()
            self.expect(request, text, None)
            self.session.writer.write(f"QUERY {request} {text}\r\n".encode())
        raise SessionEnded

    async def change_session(self, text: str) -> None:
        """Runs a SET, PREPARE or DEALLOC; a caller closes its session after an error."""
        if not (await self.query(text)).startswith("COMPLETE"):
            raise SessionEnded

    async def statement(
        self, text: str, prepared: tuple[bool, str, str | None] | None = None
    ) -> None:
        request = self.next_request()
        expected = self.expect(request, text, prepared)
        answer = self.run.statement(self.host, self.session, request, text, expected)
        outcome, _ = await answer
        if not outcome:
            raise SessionEnded

    async def query(self, text: str) -> str:
        """Runs what no instance runs under its id."""
        outcome, _ = await self.run.query(self.host, self.session, self.next_request(), text)
        if not outcome:
            raise SessionEnded
        return outcome

    def expect(
        self, request: str, text: str, prepared: tuple[bool, str, str | None] | None
    ) -> SentStatement:
        values = [f"{name}={value}" for name, value in sorted(self.values.items())]
        expected = SentStatement(self.host.version, text, prepared, values, self.transaction)
        self.run.sent.sent[request] = expected
        return expected

    def next_request(self) -> str:
        self.request_count += 1
        return self.texts.request(f"p{self.number}n{self.request_count}")

    async def pause(self) -> None:
        await asyncio.sleep(self.random.uniform(0.0, 0.02))


def routes(databases: list[str]) -> str:
    """Returns the routes of a configuration with `databases` and those that callers use."""
    documents = [
        {
            "name": name,
            "host": name,
            "route_type": DATABASES.get(name, "primary"),
            "service": "s",
            "timeout_ms": 1500,
            "slo_ms": 1000,
            "priority": 1,
            "max_staleness_ms": 1000,
        }
        for name in [*DATABASES, *databases]
    ]
    return compact(documents)


def customers(rotated_keys: list[str]) -> list[dict[str, object]]:
    """Returns the callers' customer, which has `rotated_keys` as well, and one with a quota."""
    keys = [CALLERS_KEY, *rotated_keys]
    return [
        {"name": "callers", "api_keys": keys, "priority": 1},
        {
            "name": "limited",
            "api_keys": [LIMITED_KEY],
            "priority": 1,
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        },
    ]


def compact(document: object) -> str:
    """Returns the document as JSON without blanks, which end a word of the control port."""
    return json.dumps(document, separators=(",", ":"))


async def is_ready(host: Host) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.readiness_port)
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return False
    return b" 200 " in line


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("old", help="the commit of the old version")
    parser.add_argument("--new", default="HEAD", help="the commit of the new version (HEAD)")
    parser.add_argument("--old-program", type=Path, help="a program in place of a build of OLD")
    parser.add_argument("--new-program", type=Path, help="a program in place of a build of --new")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pause", type=float, default=1.5, help="seconds between replacements")
    parser.add_argument("--way", choices=["up", "down", "both"], default="both")
    parser.add_argument(
        "--plain", action="store_true", help="statements whose texts are one word each"
    )
    parser.add_argument(
        "--max-connections", type=int, default=40, help="how many connections each instance accepts"
    )
    arguments = parser.parse_args()
    try:
        programs = {
            "old": arguments.old_program or build(arguments.old),
            "new": arguments.new_program or build(arguments.new),
        }
        folder = Path(tempfile.mkdtemp(prefix="side-by-side-"))
        run = Run(arguments, programs, folder, random.Random(arguments.seed))
        asyncio.run(run.play())
    except SetupError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    print(", ".join(f"{name}: {count}" for name, count in sorted(run.counts.items())))
    if run.differences > PRINTED_DIFFERENCES:
        print(f"as sent: {run.differences} differences, {PRINTED_DIFFERENCES} of them printed")
    if run.violations:
        rules = sorted({violation.rule for violation in run.violations})
        print(f"seed {arguments.seed}: {len(run.violations)} violations of {', '.join(rules)}")
        print(f"logs: {folder}")
        return 1
    print(f"seed {arguments.seed}: no rule broken")
    return 0


if __name__ == "__main__":
    sys.exit(main())
