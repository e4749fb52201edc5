//! How long an upstream connection is leased to one session.
//!
//! A connection is leased to one session at a time. It can be leased to another one only when
//! nothing of the session is left on it: no open transaction and no pending response. See
//! docs/notes/verdicts.md.

use crate::value_type;

crate::key_type! {
    /// The transaction status that an upstream reports when it is ready for the next query.
    pub enum TransactionStatus {
        /// Outside a transaction.
        Idle,
        /// In a transaction.
        InTransaction,
        /// In a failed transaction that has to be rolled back.
        Failed,
    }

    /// What to do with a leased connection.
    pub enum LeaseDecision {
        /// It may be leased to another session.
        Return,
        /// Its session still needs it.
        Keep,
        /// It must be closed; whatever is left on it must never reach another session.
        Discard,
    }
}

value_type! {
    /// The lease of one connection to one session; 8 bytes.
    pub struct Lease {
        pending_responses: u32,
        status: TransactionStatus,
        is_broken: bool,
    }
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            pending_responses: 0,
            status: TransactionStatus::Idle,
            is_broken: false,
        }
    }
}

impl Lease {
    /// Records that a query or a sync was sent, which the upstream answers with one ready message.
    pub fn note_sent(&mut self) {
        self.pending_responses += 1;
    }

    /// Records the upstream's ready message, which ends one complete response.
    ///
    /// A ready message that was not expected belongs to no request of this session, so the
    /// connection is no longer trusted.
    pub fn note_ready(&mut self, status: TransactionStatus) {
        match self.pending_responses.checked_sub(1) {
            Some(remaining) => self.pending_responses = remaining,
            None => self.is_broken = true,
        }
        self.status = status;
    }

    /// Records that the connection broke or sent something that could not be parsed.
    pub fn note_broken(&mut self) {
        self.is_broken = true;
    }

    /// Returns whether the last request's response is complete.
    pub fn is_answered(&self) -> bool {
        self.pending_responses == 0
    }

    /// Returns what to do when the session has nothing more to send for now.
    pub fn decision_when_idle(&self) -> LeaseDecision {
        if self.is_broken {
            return LeaseDecision::Discard;
        }
        match self.status {
            TransactionStatus::Idle if self.pending_responses == 0 => LeaseDecision::Return,
            TransactionStatus::Idle
            | TransactionStatus::InTransaction
            | TransactionStatus::Failed => LeaseDecision::Keep,
        }
    }

    /// Returns what to do when the session has ended or has stopped waiting.
    pub fn decision_at_end(&self) -> LeaseDecision {
        match self.decision_when_idle() {
            LeaseDecision::Return => LeaseDecision::Return,
            // Closing the connection rolls back an open transaction and discards late responses.
            LeaseDecision::Keep | LeaseDecision::Discard => LeaseDecision::Discard,
        }
    }
}
