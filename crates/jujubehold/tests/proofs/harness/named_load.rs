//! Callers that name each request and retry it, from host to host, until it is known to have run.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;

use super::caller::{Answer, Caller};

/// How long a caller waits before it retries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The kind of request that a load names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// One statement.
    Statement,
    /// A transaction of two statements.
    Transaction,
}

/// Running callers. Each completes one request after the other.
#[derive(Debug)]
pub(crate) struct NamedLoad {
    state: Rc<State>,
    callers: Vec<JoinHandle<BTreeSet<i64>>>,
}

#[derive(Debug, Default)]
struct State {
    is_stopping: Cell<bool>,
    completed: Cell<usize>,
    unknown_count: Cell<usize>,
}

impl NamedLoad {
    /// Starts `count` callers, spread over the hosts at `addresses`.
    pub(crate) fn start(count: i64, addresses: &[SocketAddr], kind: RequestKind) -> Self {
        let state = Rc::new(State::default());
        let callers = (0..count)
            .map(|number| {
                let task = CallerTask {
                    number,
                    addresses: addresses.to_vec(),
                    kind,
                    state: Rc::clone(&state),
                };
                actix_rt::spawn(task.run())
            })
            .collect();
        Self { state, callers }
    }

    /// Waits until `count` more requests are completed.
    pub(crate) async fn wait_for(&self, count: usize) {
        let goal = self.state.completed.get() + count;
        super::wait_until("more completed requests", async || {
            self.state.completed.get() >= goal
        })
        .await;
    }

    /// Returns how often a caller was told that a request may have run.
    pub(crate) fn unknown_count(&self) -> usize {
        self.state.unknown_count.get()
    }

    /// Waits until the callers complete their current requests, and returns the ids of all
    /// requests.
    pub(crate) async fn stop(self) -> BTreeSet<i64> {
        self.state.is_stopping.set(true);
        let mut ids = BTreeSet::new();
        for caller in self.callers {
            ids.extend(caller.await.expect("the caller's task does not panic"));
        }
        ids
    }
}

/// Checks that the group's rows include every completed request, and none of them twice.
pub(crate) fn check_completed(completed: &BTreeSet<i64>, rows: &BTreeMap<i64, i64>) {
    let lost: Vec<_> = completed
        .iter()
        .filter(|id| !rows.contains_key(id))
        .collect();
    assert!(lost.is_empty(), "completed but lost: {lost:?}");
    let duplicated: Vec<_> = rows.iter().filter(|(_, count)| **count > 1).collect();
    assert!(duplicated.is_empty(), "ran more than once: {duplicated:?}");
}

struct CallerTask {
    number: i64,
    addresses: Vec<SocketAddr>,
    kind: RequestKind,
    state: Rc<State>,
}

impl CallerTask {
    async fn run(self) -> BTreeSet<i64> {
        let mut ids = BTreeSet::new();
        let mut host = usize::try_from(self.number).unwrap_or(0);
        let mut caller = Caller::new(self.addresses[host % self.addresses.len()]);
        let mut id = self.number * 1_000_000;
        while !self.state.is_stopping.get() {
            super::wait_until("a request is completed", async || {
                let is_completed = match self.kind {
                    RequestKind::Statement => self.try_statement(&mut caller, id).await,
                    RequestKind::Transaction => self.try_transaction(&mut caller, id).await,
                };
                if !is_completed {
                    host += 1;
                    caller.move_to(self.addresses[host % self.addresses.len()]);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                is_completed
            })
            .await;
            ids.insert(id);
            self.state.completed.set(self.state.completed.get() + 1);
            id += 1;
        }
        ids
    }

    async fn try_statement(&self, caller: &mut Caller, id: i64) -> bool {
        if !caller.run(&name_sql(id)).await.is_ran() {
            return false;
        }
        let answer = caller.write(&insert_sql(id)).await;
        self.count_unknown(&answer);
        answer.is_ran()
    }

    async fn try_transaction(&self, caller: &mut Caller, id: i64) -> bool {
        if !caller.run(&name_sql(id)).await.is_ran() {
            return false;
        }
        let begun = caller.run("BEGIN").await;
        if matches!(&begun, Answer::Failed(reason) if reason.contains("already run")) {
            return true;
        }
        let touch = "UPDATE orders SET text = 'x' WHERE id < 0";
        let is_open = begun.is_ran()
            && caller.run(&insert_sql(id)).await.is_ran()
            && caller.run(touch).await.is_ran();
        if !is_open {
            return false;
        }
        let answer = caller.write("COMMIT").await;
        self.count_unknown(&answer);
        answer.is_ran()
    }

    fn count_unknown(&self, answer: &Answer) {
        if matches!(answer, Answer::Unknown(_)) {
            self.state
                .unknown_count
                .set(self.state.unknown_count.get() + 1);
        }
    }
}

fn name_sql(id: i64) -> String {
    format!("SET jujubehold.request = 'order-{id}'")
}

fn insert_sql(id: i64) -> String {
    format!("INSERT INTO orders (id, caller) VALUES ({id}, 1)")
}
