//! A model of one instance of a group: its log, fence, promotion and replication.

use jujubehold_core::prelude::*;

/// The identifier of a write.
pub(crate) type WriteId = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LogEntry {
    term: Term,
    pub(crate) write: WriteId,
}

#[derive(Debug, Clone)]
pub(crate) struct Instance {
    pub(crate) name: InstanceId,
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) log: Vec<LogEntry>,
    applied: usize,
    fence_term: Term,
    fence_nonce: Nonce,
    history: TermHistory,
    /// The primary that the instance follows, and that primary's term.
    pub(crate) followed_primary: Option<(InstanceId, Term)>,
    pub(crate) is_down: bool,
    /// An injected bug: the instance grants a fence and then ignores it.
    pub(crate) ignores_fence: bool,
}

pub(crate) enum CommitResult {
    Committed,
    AlreadyRan,
    Refused,
}

impl Instance {
    pub(crate) fn new(name: &str, followed_primary: Option<&str>) -> Self {
        let mut history = TermHistory::default();
        history.start_term(1, 0);
        Self {
            name: name.into(),
            role: if followed_primary.is_none() {
                Role::Primary
            } else {
                Role::Replica
            },
            term: 1,
            log: Vec::new(),
            applied: 0,
            fence_term: 0,
            fence_nonce: 0,
            history,
            followed_primary: followed_primary.map(|followed_primary| (followed_primary.into(), 1)),
            is_down: false,
            ignores_fence: false,
        }
    }

    pub(crate) fn status(&self) -> InstanceStatus {
        InstanceStatus {
            instance: self.name.clone(),
            role: self.role,
            term: self.term,
            received: self.log.len() as Position,
            applied: self.applied as Position,
            fence_term: self.fence_term,
            fence_nonce: self.fence_nonce,
            last_commit: self.log.len() as Position,
            open_transactions: 0,
            history: self.history.clone(),
        }
    }

    /// Returns the status as other hosts receive it; an instance with the injected bug hides its
    /// fence.
    pub(crate) fn reported_status(&self) -> InstanceStatus {
        let mut status = self.status();
        if self.ignores_fence {
            status.fence_term = 0;
        }
        status
    }

    pub(crate) fn readable(&self) -> &[LogEntry] {
        &self.log[..self.applied]
    }

    pub(crate) fn has(&self, write: WriteId) -> bool {
        self.log.iter().any(|entry| entry.write == write)
    }

    pub(crate) fn fence(&mut self, term: Term, nonce: Nonce) {
        if term > self.term.max(self.fence_term) {
            self.fence_term = term;
            self.fence_nonce = nonce;
        }
    }

    /// Promotes the instance if its fence matches; returns whether this changed anything.
    pub(crate) fn promote(&mut self, term: Term, nonce: Nonce) -> bool {
        let has_matching_fence = self.fence_term == term && self.fence_nonce == nonce;
        if !has_matching_fence || (self.role == Role::Primary && self.term == term) {
            return false;
        }
        self.role = Role::Primary;
        self.term = term;
        self.followed_primary = None;
        self.history.start_term(term, self.log.len() as Position);
        self.applied = self.log.len();
        true
    }

    pub(crate) fn follow(&mut self, term: Term, followed_primary: &InstanceId) {
        let is_newer = term > self.term || (term == self.term && self.role == Role::Replica);
        if self.fence_term > term || !is_newer || *followed_primary == self.name {
            return;
        }
        self.role = Role::Replica;
        self.followed_primary = Some((followed_primary.clone(), term));
    }

    pub(crate) fn commit(&mut self, write: WriteId, has_record: bool) -> CommitResult {
        let is_fenced = self.fence_term > self.term && !self.ignores_fence;
        if self.role != Role::Primary || is_fenced {
            return CommitResult::Refused;
        }
        if has_record && self.has(write) {
            return CommitResult::AlreadyRan;
        }
        let term = self.term;
        self.log.push(LogEntry { term, write });
        self.applied = self.log.len();
        CommitResult::Committed
    }

    /// Copies up to `entries` entries of a primary's log, after removing its own entries that are
    /// not part of that log.
    pub(crate) fn pull(&mut self, primary: &Self, entries: usize) {
        let is_fenced = self.fence_term > primary.term && !self.ignores_fence;
        let follows_primary =
            self.followed_primary
                .as_ref()
                .is_some_and(|(followed_primary, term)| {
                    *followed_primary == primary.name && *term == primary.term
                });
        if !follows_primary || primary.role != Role::Primary || is_fenced {
            return;
        }
        self.term = primary.term;
        self.copy_log(primary, primary.log.len(), entries);
    }

    /// Copies the missing entries up to `position` from `source`. A late request, when nothing is
    /// missing any more, removes nothing.
    pub(crate) fn catch_up(&mut self, source: &Self, position: Position) {
        let end = usize::try_from(position).expect("the simulated logs are short");
        if self.fence_term == source.fence_term && self.log.len() < end {
            self.copy_log(source, end, usize::MAX);
        }
    }

    /// Makes up to `entries` more received entries visible to readers.
    pub(crate) fn apply(&mut self, entries: usize) {
        self.applied = (self.applied + entries).min(self.log.len());
    }

    fn copy_log(&mut self, source: &Self, end: usize, entries: usize) {
        let common = self
            .log
            .iter()
            .zip(&source.log)
            .take_while(|(own, other)| own == other)
            .count();
        self.log.truncate(common);
        self.applied = self.applied.min(common);
        let end = end
            .min(source.log.len())
            .min(common.saturating_add(entries));
        if end > common {
            self.log.extend_from_slice(&source.log[common..end]);
        }
        self.history = source.history.clone();
    }
}
