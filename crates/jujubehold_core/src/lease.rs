//! How long an upstream connection belongs to one session.
//!
//! A connection is lent to one session at a time, and lent on only when nothing of that session is
//! left on it: no open transaction and no answer still to come. See docs/notes/verdicts.md.

use crate::value_type;

crate::key_type! {
    /// What an upstream says of its transaction when it is ready for the next query.
    pub enum TransactionStatus {
        /// It is outside a transaction.
        Idle,
        /// It is in a transaction.
        InTransaction,
        /// It is in a transaction that failed and has to be rolled back.
        Failed,
    }

    /// What may be done with a lent connection.
    pub enum LeaseDecision {
        /// It may be lent to another session.
        Return,
        /// Its session still needs it.
        Keep,
        /// It must be closed; what is left on it must never reach another session.
        Discard,
    }
}

value_type! {
    /// One connection as it is lent to one session; 8 bytes.
    pub struct Lease {
        answers_due: u32,
        status: TransactionStatus,
        is_broken: bool,
    }
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            answers_due: 0,
            status: TransactionStatus::Idle,
            is_broken: false,
        }
    }
}

impl Lease {
    /// Notes that a query or a sync was sent, which the upstream answers with one ready message.
    pub fn note_sent(&mut self) {
        self.answers_due += 1;
    }

    /// Notes the upstream's ready message, the end of one whole answer.
    ///
    /// One that was not due belongs to no request of this session; the connection is not trusted
    /// any more.
    pub fn note_ready(&mut self, status: TransactionStatus) {
        match self.answers_due.checked_sub(1) {
            Some(rest) => self.answers_due = rest,
            None => self.is_broken = true,
        }
        self.status = status;
    }

    /// Notes that the connection broke or said what could not be read.
    pub fn note_broken(&mut self) {
        self.is_broken = true;
    }

    /// Whether the last request's answer is whole.
    pub fn is_answered(&self) -> bool {
        self.answers_due == 0
    }

    /// What to do when the session has nothing more to send for now.
    pub fn at_rest(&self) -> LeaseDecision {
        if self.is_broken {
            return LeaseDecision::Discard;
        }
        match self.status {
            TransactionStatus::Idle if self.answers_due == 0 => LeaseDecision::Return,
            TransactionStatus::Idle
            | TransactionStatus::InTransaction
            | TransactionStatus::Failed => LeaseDecision::Keep,
        }
    }

    /// What to do when the session ended or gave up waiting.
    pub fn at_end(&self) -> LeaseDecision {
        match self.at_rest() {
            LeaseDecision::Return => LeaseDecision::Return,
            // An open transaction is rolled back by the close, and late answers end with it.
            LeaseDecision::Keep | LeaseDecision::Discard => LeaseDecision::Discard,
        }
    }
}
