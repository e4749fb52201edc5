//! Compares each prepared statement that runs with what its caller sent.

use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::future::join_all;
use jujubehold_core::prelude::*;
use jujubehold_core::statement_name::StatementName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::raw_caller::{RawCaller, error_code};
use crate::support::{Fixture, connect, run};

const SESSIONS: u64 = 8;
const STEPS: u32 = 90;
/// Parts of texts, names and values; a quote is doubled where it stands within a string.
const ODD: [&str; 16] = [
    "",
    " ",
    "x",
    "it's",
    "'; DEALLOCATE ALL; --",
    "; DISCARD ALL",
    "\"quoted\"",
    "\\0 \\' %00",
    "$1 $2 $a$",
    "-- a comment",
    "/* open",
    "two\nlines\tand\ra return",
    "\u{e9}\u{1f980}\u{a0}\u{feff}",
    "jb",
    "EXECUTE s1 WRITE s1",
    "a very long text that is repeated until it is longer than any buffer of small texts is",
];

/// What a session sent to be run.
#[derive(Debug, PartialEq, Eq)]
struct Sent {
    sql: String,
    parameters: Vec<Option<Vec<u8>>>,
    settings: BTreeMap<String, String>,
}

/// A session, and what its names and settings stand for.
struct Player {
    number: u64,
    random: StdRng,
    caller: RawCaller,
    names: BTreeMap<String, String>,
    settings: BTreeMap<String, String>,
    sent: BTreeMap<String, Sent>,
}

impl Player {
    async fn start(fixture: &Fixture, seed: u64, number: u64) -> Self {
        let zone = ["", "Asia/Tokyo", "Europe/Paris"][usize::try_from(number % 3).unwrap()];
        let (mut startup, mut settings) = (Vec::new(), BTreeMap::new());
        if !zone.is_empty() {
            startup.push(("TimeZone", zone));
            settings.insert("timezone".to_owned(), zone.to_owned());
        }
        Self {
            number,
            random: StdRng::seed_from_u64(seed * 1000 + number),
            caller: RawCaller::connect(fixture, &startup).await,
            names: BTreeMap::new(),
            settings,
            sent: BTreeMap::new(),
        }
    }

    fn odd(&mut self) -> &'static str {
        ODD[self.random.random_range(0..ODD.len())]
    }

    /// Returns a statement with two parameters; many sessions choose the same ones.
    fn text(&mut self) -> String {
        let (first, second) = (self.odd(), self.odd());
        let repeated = first
            .repeat(self.random.random_range(1..4))
            .replace('\'', "''");
        let comment = second.replace(['\n', '\r'], " ");
        match self.random.random_range(0..3) {
            0 => {
                format!("INSERT INTO kept (tag, odd, n) VALUES ($1, $2, '{repeated}') --{comment}")
            }
            1 => format!("SELECT tag, '{repeated}' FROM kept WHERE tag = $1 AND odd = $2"),
            _ => format!("SELECT odd FROM kept WHERE odd = $2 AND tag = $1 --{comment}"),
        }
    }

    /// Returns a name: one of the session's, an odd one, or one that the proxy gives to a statement.
    fn name(&mut self) -> String {
        match self.random.random_range(0..3) {
            0 => format!("s{}", self.random.random_range(0..4)),
            1 => self.odd().to_owned(),
            _ => {
                let message = [self.text().as_bytes(), b"\0\0\0"].concat();
                StatementName::new([&message[..]]).as_str().to_owned()
            }
        }
    }

    async fn play(mut self) -> BTreeMap<String, Sent> {
        for step in 0..STEPS {
            match self.random.random_range(0..10) {
                0..6 => self.run_one(step, "").await,
                6 => {
                    assert_eq!(error_code(&self.caller.query("BEGIN").ask().await), "");
                    for part in ["a", "b"] {
                        self.run_one(step, part).await;
                    }
                    assert_eq!(error_code(&self.caller.query("ROLLBACK").ask().await), "");
                }
                7 => self.fail().await,
                8 => {
                    let name = self.name();
                    self.caller.close(&name);
                    self.names.remove(&name);
                    assert_eq!(error_code(&self.caller.sync().await), "");
                }
                _ => self.set().await,
            }
        }
        self.sent
    }

    /// Runs a statement, which is prepared first in the same pipeline, or not.
    async fn run_one(&mut self, step: u32, part: &str) {
        let name = self.name();
        if self.random.random_bool(0.6) {
            let text = self.text();
            self.caller.parse(&name, &text);
            self.names.insert(name.clone(), text);
        }
        let tag = format!("{}/{step}{part}", self.number);
        let odd = self.odd();
        self.caller.bind(&name, &[&tag, odd]).execute();
        let answer = self.caller.sync().await;
        let Some(sql) = self.names.get(&name) else {
            assert!(["26000", "25P02"].contains(&error_code(&answer)), "{name}");
            return;
        };
        if error_code(&answer) == "25P02" {
            // An unknown name failed the transaction. What was prepared in it is not known.
            self.names.remove(&name);
            self.caller.close(&name);
            return;
        }
        assert_eq!(error_code(&answer), "", "{name}: {sql}");
        let sent = Sent {
            sql: sql.clone(),
            parameters: vec![Some(tag.clone().into_bytes()), Some(odd.into())],
            settings: self.settings.clone(),
        };
        self.sent.insert(tag, sent);
    }

    /// Sends a pipeline whose first message fails, so that it changes nothing.
    async fn fail(&mut self) {
        self.caller.parse("bad", "SELECT nothing FROM nowhere");
        let (name, text) = (self.name(), self.text());
        self.caller.close(&name).parse(&name, &text);
        self.caller.bind(&name, &["skipped", ""]).execute();
        assert_ne!(error_code(&self.caller.sync().await), "");
    }

    async fn set(&mut self) {
        if self.settings.is_empty() {
            // Several sessions without settings share the statements of their connections.
            return;
        }
        let value = self.odd().replace('\\', "/").replace('\'', "''");
        let text = format!("SET odd.value = '{value}'");
        assert_eq!(
            error_code(&self.caller.query(&text).ask().await),
            "",
            "{text}"
        );
        // As the stand-in reads it.
        let value = format!("'{value}'").trim_matches('\'').to_owned();
        self.settings.insert("odd.value".to_owned(), value);
    }
}

async fn compare(seed: u64) {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let primary = connect(fixture.databases[0].address(), "").await;
    run(&primary, "CREATE TABLE kept (tag TEXT, odd TEXT, n TEXT)").await;
    fixture.wait_applied().await;
    let fixture = Rc::new(fixture);
    let players = (0..SESSIONS).map(|number| {
        let fixture = fixture.clone();
        async move { Player::start(&fixture, seed, number).await.play().await }
    });
    let sent: BTreeMap<_, _> = join_all(players).await.into_iter().flatten().collect();
    let mut ran_by_tag = BTreeMap::new();
    for run in fixture.statement_runs() {
        let tag = run.parameters[0].clone().unwrap_or_default();
        let tag = String::from_utf8(tag).unwrap();
        assert_eq!(run.prepared_under, run.ran_under, "seed {seed}, {tag}");
        let ran = Sent {
            sql: run.sql,
            parameters: run.parameters,
            settings: run.ran_under,
        };
        assert_eq!(Some(&ran), sent.get(&tag), "seed {seed}, {tag}");
        ran_by_tag.insert(tag, ran);
    }
    assert_eq!(ran_by_tag, sent, "seed {seed}: what ran and what was sent");
    assert!(sent.len() > 200, "seed {seed}: {}", sent.len());
}

// Names that stood for two contents, and messages that were split or put together elsewhere, ran
// other statements than their callers had sent.
#[actix_rt::test]
async fn each_statement_runs_as_its_caller_sent_it() {
    for seed in [1, 2, 3] {
        compare(seed).await;
    }
}
