//! What one upstream instance says of itself.

use crate::ids::{InstanceId, Nonce, Position, Term};
use crate::term_history::TermHistory;
use crate::value_type;

crate::key_type! {
    /// The part that an instance plays in its group.
    pub enum Role {
        /// It takes writes.
        Primary,
        /// It follows a primary.
        Replica,
    }
}

value_type! {
    /// One instance's answer to a status query.
    ///
    /// The text form is one line of `key=value` pairs; docs/notes/group-interface.md lists them.
    pub struct InstanceStatus {
        /// The instance's name.
        pub instance: InstanceId,
        /// Its present role.
        pub role: Role,
        /// The term it serves or follows.
        pub term: Term,
        /// The last position it has received.
        pub received: Position,
        /// The last position that its readers see.
        pub applied: Position,
        /// The term it is fenced at: it takes nothing of a lower term. 0 when never fenced.
        pub fence_term: Term,
        /// The nonce of that fence.
        pub fence_nonce: Nonce,
        /// The position of the asking connection's own last commit; 0 when it had none.
        pub last_commit: Position,
        /// How many callers' connections have a transaction open or a statement running; 0 when
        /// the group does not state it.
        pub open_transactions: u32,
        /// The terms of its log.
        pub history: TermHistory,
    }
}

impl InstanceStatus {
    /// Parses the text form; `None` when a pair is missing or malformed.
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
                // A newer group may state more than this version knows.
                _ => continue,
            }
            pairs_seen += 1;
        }
        (pairs_seen == Self::PAIRS).then_some(status)
    }

    /// Whether the instance takes writes in `term` and has not been fenced past it.
    pub fn is_primary_of(&self, term: Term) -> bool {
        self.role == Role::Primary && self.term == term && self.fence_term <= term
    }

    /// Whether the instance knows of nothing above `term`, so that it stands for the term.
    pub fn proves(&self, term: Term) -> bool {
        self.fence_term <= term && self.term <= term
    }

    /// How advanced the instance's log is: the term of its last entry outweighs any position.
    ///
    /// The history's last term won't do: an instance may know of a term of which it has received
    /// nothing yet, and still lack acknowledged writes of the term before.
    pub fn log_end(&self) -> (Term, Position) {
        (self.history.term_of(self.received), self.received)
    }

    /// The number of pairs that the text form must have.
    const PAIRS: usize = 9;

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
    /// The name used in the text form.
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
