//! The status that an upstream instance reports.

use crate::ids::{InstanceId, Nonce, Position, Term};
use crate::term_history::TermHistory;
use crate::value_type;

crate::key_type! {
    /// The role of an instance in its group.
    pub enum Role {
        /// Accepts writes.
        Primary,
        /// Follows a primary.
        Replica,
    }
}

value_type! {
    /// One instance's answer to a status request.
    ///
    /// The text form is one line of `key=value` pairs; docs/notes/group-interface.md lists them.
    pub struct InstanceStatus {
        /// The instance's name.
        pub instance: InstanceId,
        /// Its current role.
        pub role: Role,
        /// The term in which it is primary or that it follows.
        pub term: Term,
        /// The last position it has received.
        pub received: Position,
        /// The last position that is visible to its readers.
        pub applied: Position,
        /// The term at which it is fenced: it accepts nothing of a lower term. 0 if it was never
        /// fenced.
        pub fence_term: Term,
        /// The nonce of that fence.
        pub fence_nonce: Nonce,
        /// The position of the last commit made on the connection that requested the status; 0 if
        /// there was none.
        pub last_commit: Position,
        /// How many callers' connections have a transaction open or a statement running; 0 if the
        /// group does not report it.
        pub open_transactions: u32,
        /// The terms of its log.
        pub history: TermHistory,
    }
}

impl InstanceStatus {
    /// Parses the text form; returns `None` if a pair is missing or malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut status = Self::empty();
        let mut pairs_seen = 0;
        for pair in text.split_ascii_whitespace() {
            let (key, value) = pair.split_once('=')?;
            match key {
                "instance" => status.instance = value.into(),
                "role" => status.role = Role::parse(value)?,
                "term" => status.term = value.parse().ok()?,
                "received" => status.received = value.parse().ok()?,
                "applied" => status.applied = value.parse().ok()?,
                "fence_term" => status.fence_term = value.parse().ok()?,
                "fence_nonce" => status.fence_nonce = value.parse().ok()?,
                "last_commit" => status.last_commit = value.parse().ok()?,
                "history" => status.history = TermHistory::parse(value)?,
                "open_transactions" => {
                    status.open_transactions = value.parse().ok()?;
                    continue;
                }
                // A newer group may report more than this version knows.
                _ => continue,
            }
            pairs_seen += 1;
        }
        (pairs_seen == Self::REQUIRED_PAIRS).then_some(status)
    }

    /// Returns whether the instance accepts writes in `term` and is not fenced above it.
    pub fn is_primary_of(&self, term: Term) -> bool {
        self.role == Role::Primary && self.term == term && self.fence_term <= term
    }

    /// Returns whether the instance knows of no term above `term`, so that its answer counts as
    /// proof of the term.
    pub fn confirms_term(&self, term: Term) -> bool {
        self.fence_term <= term && self.term <= term
    }

    /// Returns the end of the instance's log; the term of the last entry takes precedence over the
    /// position.
    ///
    /// The history's last term is not enough: an instance may know of a term of which it has
    /// received nothing yet, and still lack acknowledged writes of the previous term.
    pub fn log_end(&self) -> (Term, Position) {
        (self.history.term_of(self.received), self.received)
    }

    /// The number of required pairs in the text form.
    const REQUIRED_PAIRS: usize = 9;

    fn empty() -> Self {
        Self {
            instance: InstanceId::default(),
            role: Role::Replica,
            term: 0,
            received: 0,
            applied: 0,
            fence_term: 0,
            fence_nonce: 0,
            last_commit: 0,
            open_transactions: 0,
            history: TermHistory::default(),
        }
    }
}

impl std::fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "instance={} role={} term={} received={} applied={} fence_term={} fence_nonce={} \
             last_commit={} open_transactions={} history={}",
            self.instance,
            self.role.as_str(),
            self.term,
            self.received,
            self.applied,
            self.fence_term,
            self.fence_nonce,
            self.last_commit,
            self.open_transactions,
            self.history,
        )
    }
}

impl Role {
    /// Returns the name used in the text form.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        match name {
            "primary" => Some(Self::Primary),
            "replica" => Some(Self::Replica),
            _ => None,
        }
    }
}
