//! A model of one instance of a group: log, fence, promotion and replication.

use jujubehold_core::prelude::*;

/// The number of a write.
pub(crate) type WriteId = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    term: Term,
    pub(crate) write: WriteId,
}

#[derive(Debug, Clone)]
pub(crate) struct Instance {
    pub(crate) name: InstanceId,
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) log: Vec<Entry>,
    applied: usize,
    fence_term: Term,
    fence_nonce: Nonce,
    history: TermHistory,
    /// The primary it was told to follow, and that primary's term.
    pub(crate) leader: Option<(InstanceId, Term)>,
    pub(crate) is_down: bool,
    /// A planted fault: the fence is granted and then not kept.
    pub(crate) ignores_fence: bool,
}

pub(crate) enum CommitAnswer {
    Committed,
    AlreadyRan,
    Refused,
}

impl Instance {
    pub(crate) fn new(name: &str, leader: Option<&str>) -> Self {
        let mut history = TermHistory::default();
        history.start_term(1, 0);
        Self {
            name: name.into(),
            role: if leader.is_none() {
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
            leader: leader.map(|leader| (leader.into(), 1)),
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

    /// The status, in which an instance with the planted fault hides its fence.
    pub(crate) fn shown_status(&self) -> InstanceStatus {
        let mut status = self.status();
        if self.ignores_fence {
            status.fence_term = 0;
        }
        status
    }

    pub(crate) fn readable(&self) -> &[Entry] {
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

    /// Whether the promotion changed anything.
    pub(crate) fn promote(&mut self, term: Term, nonce: Nonce) -> bool {
        let is_fenced_so = self.fence_term == term && self.fence_nonce == nonce;
        if !is_fenced_so || (self.role == Role::Primary && self.term == term) {
            return false;
        }
        self.role = Role::Primary;
        self.term = term;
        self.leader = None;
        self.history.start_term(term, self.log.len() as Position);
        self.applied = self.log.len();
        true
    }

    pub(crate) fn follow(&mut self, term: Term, leader: &InstanceId) {
        let is_newer = term > self.term || (term == self.term && self.role == Role::Replica);
        if self.fence_term > term || !is_newer || *leader == self.name {
            return;
        }
        self.role = Role::Replica;
        self.leader = Some((leader.clone(), term));
    }

    pub(crate) fn commit(&mut self, write: WriteId, has_record: bool) -> CommitAnswer {
        let is_fenced = self.fence_term > self.term && !self.ignores_fence;
        if self.role != Role::Primary || is_fenced {
            return CommitAnswer::Refused;
        }
        if has_record && self.has(write) {
            return CommitAnswer::AlreadyRan;
        }
        let term = self.term;
        self.log.push(Entry { term, write });
        self.applied = self.log.len();
        CommitAnswer::Committed
    }

    /// Takes some of a primary's log; whatever is not part of it is dropped first.
    pub(crate) fn pull(&mut self, primary: &Self, entries: usize) {
        let is_fenced = self.fence_term > primary.term && !self.ignores_fence;
        let is_led = self
            .leader
            .as_ref()
            .is_some_and(|(leader, term)| *leader == primary.name && *term == primary.term);
        if !is_led || primary.role != Role::Primary || is_fenced {
            return;
        }
        self.term = primary.term;
        self.take(primary, primary.log.len(), entries);
    }

    /// Fetches what is missing up to `position`; one that comes late, when there is nothing to
    /// fetch any more, cuts nothing.
    pub(crate) fn catch_up(&mut self, source: &Self, position: Position) {
        let end = usize::try_from(position).expect("the model's logs are short");
        if self.fence_term == source.fence_term && self.log.len() < end {
            self.take(source, end, usize::MAX);
        }
    }

    /// Shows readers a part of what was received.
    pub(crate) fn apply(&mut self, entries: usize) {
        self.applied = (self.applied + entries).min(self.log.len());
    }

    fn take(&mut self, source: &Self, end: usize, entries: usize) {
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
