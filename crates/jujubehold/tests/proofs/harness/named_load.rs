//! Callers that name each request and ask again, from host to host, until it is settled.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;

use super::caller::{Answer, Caller};

/// How long a caller waits before it asks again.
const PAUSE: Duration = Duration::from_millis(20);

/// What a name stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Named {
    /// One statement.
    Statement,
    /// A transaction of two statements.
    Transaction,
}

/// Callers at work; each settles one request after the other.
#[derive(Debug)]
pub(crate) struct NamedLoad {
    state: Rc<State>,
    callers: Vec<JoinHandle<BTreeSet<i64>>>,
}

#[derive(Debug, Default)]
struct State {
    is_stopping: Cell<bool>,
    settled: Cell<usize>,
    unknown: Cell<usize>,
}

impl NamedLoad {
    /// Starts `count` callers over the hosts at `addresses`.
    pub(crate) fn start(count: i64, addresses: &[SocketAddr], named: Named) -> Self {
        let state = Rc::new(State::default());
        let callers = (0..count)
            .map(|number| {
                let task = Task {
                    number,
                    addresses: addresses.to_vec(),
                    named,
                    state: Rc::clone(&state),
                };
                actix_rt::spawn(task.run())
            })
            .collect();
        Self { state, callers }
    }

    /// Lets `count` more requests be settled.
    pub(crate) async fn wait_for(&self, count: usize) {
        let goal = self.state.settled.get() + count;
        super::until("more settled requests", async || {
            self.state.settled.get() >= goal
        })
        .await;
    }

    /// How often a caller was told that a request may have run.
    pub(crate) fn unknown(&self) -> usize {
        self.state.unknown.get()
    }

    /// Lets the callers settle what they are at, and returns the ids of all requests.
    pub(crate) async fn stop(self) -> BTreeSet<i64> {
        self.state.is_stopping.set(true);
        let mut ids = BTreeSet::new();
        for caller in self.callers {
            ids.extend(caller.await.expect("a caller ends"));
        }
        ids
    }
}

/// Holds that every settled request is among the group's rows, and nothing is there twice.
pub(crate) fn check_settled(settled: &BTreeSet<i64>, rows: &BTreeMap<i64, i64>) {
    let lost: Vec<_> = settled.iter().filter(|id| !rows.contains_key(id)).collect();
    assert!(lost.is_empty(), "settled and lost: {lost:?}");
    let doubled: Vec<_> = rows.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "ran more than once: {doubled:?}");
}

struct Task {
    number: i64,
    addresses: Vec<SocketAddr>,
    named: Named,
    state: Rc<State>,
}

impl Task {
    async fn run(self) -> BTreeSet<i64> {
        let mut ids = BTreeSet::new();
        let mut place = usize::try_from(self.number).unwrap_or(0);
        let mut caller = Caller::new(self.addresses[place % self.addresses.len()]);
        let mut id = self.number * 1_000_000;
        while !self.state.is_stopping.get() {
            super::until("a request is settled", async || {
                let is_settled = match self.named {
                    Named::Statement => self.ask_statement(&mut caller, id).await,
                    Named::Transaction => self.ask_transaction(&mut caller, id).await,
                };
                if !is_settled {
                    place += 1;
                    caller.move_to(self.addresses[place % self.addresses.len()]);
                    tokio::time::sleep(PAUSE).await;
                }
                is_settled
            })
            .await;
            ids.insert(id);
            self.state.settled.set(self.state.settled.get() + 1);
            id += 1;
        }
        ids
    }

    async fn ask_statement(&self, caller: &mut Caller, id: i64) -> bool {
        if !caller.run(&name(id)).await.is_ran() {
            return false;
        }
        let answer = caller.write(&insert(id)).await;
        self.note(&answer);
        answer.is_ran()
    }

    async fn ask_transaction(&self, caller: &mut Caller, id: i64) -> bool {
        if !caller.run(&name(id)).await.is_ran() {
            return false;
        }
        let begun = caller.run("BEGIN").await;
        if matches!(&begun, Answer::Failed(reason) if reason.contains("already run")) {
            return true;
        }
        let touch = "UPDATE orders SET text = 'x' WHERE id < 0";
        let is_open = begun.is_ran()
            && caller.run(&insert(id)).await.is_ran()
            && caller.run(touch).await.is_ran();
        if !is_open {
            return false;
        }
        let answer = caller.write("COMMIT").await;
        self.note(&answer);
        answer.is_ran()
    }

    fn note(&self, answer: &Answer) {
        if matches!(answer, Answer::Unknown(_)) {
            self.state.unknown.set(self.state.unknown.get() + 1);
        }
    }
}

fn name(id: i64) -> String {
    format!("SET jujubehold.request = 'order-{id}'")
}

fn insert(id: i64) -> String {
    format!("INSERT INTO orders (id, caller) VALUES ({id}, 1)")
}
