//! Executes the calls of the group interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::prelude::{Position, Term};
use tokio::time::Instant;

use super::instance::Instance;
use super::outcome::Outcome;
use super::puller;
use super::session::Session;
use super::sql_error::SqlError;
use super::statement_kind::GroupCall;

/// The maximum number of log entries in one answer to a pull.
const MAX_PULL_ENTRIES: usize = 1000;
/// The time limit of a catch-up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

impl Session {
    pub(crate) async fn run_group_call(&mut self, call: GroupCall) -> Result<Outcome, SqlError> {
        match call {
            GroupCall::Status => {}
            GroupCall::Fence { term, nonce } => {
                self.shared.change(|instance| instance.fence(term, nonce));
            }
            GroupCall::Promote { term, nonce } => {
                self.shared
                    .change(|instance| instance.promote(term, nonce))?;
            }
            GroupCall::Follow { term, address } => {
                self.shared
                    .change(|instance| instance.follow(term, address))?;
            }
            GroupCall::CatchUp { address, position } => self.catch_up(address, position).await?,
            GroupCall::Wait {
                term,
                position,
                wait,
            } => {
                let is_done = |instance: &Instance| is_wait_over(instance, term, position);
                self.wait_until(wait, is_done).await;
            }
            GroupCall::Log { term, after, wait } => return self.log(term, after, wait).await,
        }
        Ok(self.status())
    }

    fn status(&self) -> Outcome {
        let status = self.shared.status(self.executor.last_commit);
        Outcome::text_rows(&["group_status"], vec![vec![status.to_string()]])
    }

    async fn catch_up(&self, address: SocketAddr, position: Position) -> Result<(), SqlError> {
        let work = puller::catch_up(&self.shared, address, position);
        match tokio::time::timeout(CATCH_UP_TIMEOUT, work).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(SqlError::new("58000", error.to_string())),
            Err(_) => Err(SqlError::new("58000", "the catch-up took too long")),
        }
    }

    async fn log(&self, term: Term, after: Position, wait: Duration) -> Result<Outcome, SqlError> {
        self.wait_until(wait, |instance| {
            instance.highest_known_term() != term || instance.received() != after
        })
        .await;
        let instance = self.shared.instance();
        if instance.highest_known_term() != term {
            let message = format!("the log of term {term} is not served any more");
            return Err(SqlError::read_only(message));
        }
        let mut rows = vec![vec![
            instance.highest_known_term().to_string(),
            instance.received().to_string(),
            instance.history().to_string(),
        ]];
        for entry in instance.entries_after(after, MAX_PULL_ENTRIES) {
            for statement in &entry.statements {
                let (term, position) = (entry.term.to_string(), entry.position.to_string());
                rows.push(vec![term, position, statement.clone()]);
            }
        }
        Ok(Outcome::text_rows(&["term", "position", "statement"], rows))
    }

    async fn wait_until(&self, wait: Duration, is_done: impl Fn(&Instance) -> bool) {
        let shared = Arc::clone(&self.shared);
        let mut changes = shared.changes.subscribe();
        let deadline = Instant::now() + wait;
        while !is_done(&shared.instance()) {
            // `shared` holds the sender, so the only error is an elapsed deadline.
            if tokio::time::timeout_at(deadline, changes.changed())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// Returns whether a wait for a position can end: the log contains the position in this term's
/// history, or the instance knows of a higher term.
fn is_wait_over(instance: &Instance, term: Term, position: Position) -> bool {
    let is_held = instance.received() >= position && instance.history().contains(term, position);
    is_held || instance.highest_known_term() > term
}
