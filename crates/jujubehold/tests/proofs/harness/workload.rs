//! Callers that write and read back continuously, and the outcomes that they received.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;

use super::caller::{Answer, Caller};

/// How long a caller waits after a write that was not acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The outcome that the callers received for each write, by its id.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) acknowledged: BTreeSet<i64>,
    /// With the reported reason.
    pub(crate) not_run: BTreeMap<i64, String>,
    pub(crate) unknown: BTreeMap<i64, String>,
    /// Ids of acknowledged writes that a later read of the same session did not find.
    pub(crate) not_read_back: BTreeSet<i64>,
    /// The number of writes that were read back.
    pub(crate) read_back: usize,
}

impl Report {
    /// Checks the reported outcomes against the rows that the group holds.
    pub(crate) fn check(&self, rows: &BTreeMap<i64, i64>) {
        let count = |id: &i64| rows.get(id).copied().unwrap_or(0);
        let lost: Vec<_> = self
            .acknowledged
            .iter()
            .filter(|id| count(id) == 0)
            .collect();
        assert!(lost.is_empty(), "acknowledged but lost: {lost:?}");
        let ran: Vec<_> = self
            .not_run
            .iter()
            .filter(|(id, _)| count(id) != 0)
            .collect();
        assert!(ran.is_empty(), "reported as not run, but ran: {ran:?}");
        let duplicated: Vec<_> = rows.iter().filter(|(_, count)| **count > 1).collect();
        assert!(duplicated.is_empty(), "ran more than once: {duplicated:?}");
        let unread = &self.not_read_back;
        assert!(
            unread.is_empty(),
            "not read back by their own session: {unread:?}"
        );
    }
}

/// Running callers. Each has one session, which moves to the next host after every few writes.
#[derive(Debug)]
pub(crate) struct Workload {
    report: Rc<RefCell<Report>>,
    is_stopping: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<()>>,
}

impl Workload {
    /// Starts `count` callers, spread over the hosts at `addresses`.
    pub(crate) fn start(count: i64, addresses: &[SocketAddr]) -> Self {
        let report = Rc::new(RefCell::new(Report::default()));
        let is_stopping = Rc::new(Cell::new(false));
        let callers = (0..count)
            .map(|number| {
                let task = CallerTask {
                    number,
                    addresses: addresses.to_vec(),
                    report: Rc::clone(&report),
                    is_stopping: Rc::clone(&is_stopping),
                };
                actix_rt::spawn(task.run())
            })
            .collect();
        Self {
            report,
            is_stopping,
            callers,
        }
    }

    /// Returns the number of writes acknowledged so far.
    pub(crate) fn acknowledged(&self) -> usize {
        self.report.borrow().acknowledged.len()
    }

    /// Waits until `count` more writes are acknowledged.
    pub(crate) async fn wait_for(&self, count: usize) {
        let goal = self.acknowledged() + count;
        super::wait_until("more acknowledged writes", async || {
            self.acknowledged() >= goal
        })
        .await;
    }

    /// Stops the callers and returns the outcomes that they received.
    pub(crate) async fn stop(self) -> Report {
        self.is_stopping.set(true);
        for caller in self.callers {
            caller.await.expect("the caller's task does not panic");
        }
        Rc::try_unwrap(self.report)
            .expect("the callers have ended")
            .into_inner()
    }
}

struct CallerTask {
    number: i64,
    addresses: Vec<SocketAddr>,
    report: Rc<RefCell<Report>>,
    is_stopping: Rc<Cell<bool>>,
}

impl CallerTask {
    /// The number of writes after which a session moves to the next host.
    const WRITES_PER_HOST: i64 = 5;
    /// The size of the id range of one caller.
    const IDS_PER_CALLER: i64 = 1_000_000;

    async fn run(self) {
        let mut host = usize::try_from(self.number).unwrap_or(0) % self.addresses.len();
        let mut caller = Caller::new(self.addresses[host]);
        for step in 0.. {
            if self.is_stopping.get() {
                return;
            }
            if step % Self::WRITES_PER_HOST == Self::WRITES_PER_HOST - 1 {
                host = (host + 1) % self.addresses.len();
                caller.move_to(self.addresses[host]);
            }
            let id = self.number * Self::IDS_PER_CALLER + step;
            self.write(&mut caller, id, step % 2 == 0).await;
        }
    }

    async fn write(&self, caller: &mut Caller, id: i64, is_in_transaction: bool) {
        let number = self.number;
        let insert = format!("INSERT INTO orders (id, caller) VALUES ({id}, {number})");
        let answer = if is_in_transaction {
            write_in_transaction(caller, &insert).await
        } else {
            caller.write(&insert).await
        };
        match answer {
            Answer::Ran(_) => {
                self.report.borrow_mut().acknowledged.insert(id);
                self.read_back(caller, id).await;
            }
            Answer::NotRun(code, detail) => {
                self.report
                    .borrow_mut()
                    .not_run
                    .insert(id, format!("{code} {detail}"));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Answer::Failed(reason) => {
                self.report.borrow_mut().not_run.insert(id, reason);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Answer::Unknown(reason) => {
                self.report.borrow_mut().unknown.insert(id, reason);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read_back(&self, caller: &mut Caller, id: i64) {
        let sql = format!("SELECT count(*) FROM orders WHERE id = {id}");
        let answer = caller.run(&sql).await;
        let mut report = self.report.borrow_mut();
        match answer.value() {
            Some("1") => report.read_back += 1,
            Some(_) => {
                report.not_read_back.insert(id);
            }
            // A refused read violates nothing.
            None => {}
        }
    }
}

/// Writes in an explicit transaction, whose outcome is that of the commit.
async fn write_in_transaction(caller: &mut Caller, insert: &str) -> Answer {
    let begun = caller.run("BEGIN").await;
    if !begun.is_ran() {
        return begun;
    }
    let inserted = caller.run_in_transaction(insert).await;
    if let Answer::Unknown(_) = inserted {
        caller.disconnect();
        return inserted;
    }
    if !inserted.is_ran() {
        // Nothing can have taken effect without a commit.
        caller.disconnect();
        return Answer::Failed(format!("before the commit: {inserted:?}"));
    }
    let committed = caller.run_in_transaction("COMMIT").await;
    if committed.is_ran() {
        caller.save_token().await;
        return committed;
    }
    caller.disconnect();
    committed
}
