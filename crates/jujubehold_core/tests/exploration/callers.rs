//! Callers that write, and what must hold for them.

use std::collections::BTreeMap;

use jujubehold_core::acknowledgement::{AckDecision, CommitEvidence, ReplicaAnswer};
use jujubehold_core::authority::Authority;
use jujubehold_core::outcome::{
    AttemptProgress, OutcomeLookup, RequestHistory, RerunDecision, decide_rerun,
};
use jujubehold_core::prelude::*;

use crate::caller_reads::Read;
use crate::instance::{Instance, WriteId};
use crate::message::{Answer, Ask, Tag};
use crate::world::{At, Planted, World};

const SESSIONS: u64 = 4;

/// How long a host goes on asking for a commit's proof, in milliseconds.
const CONFIRM_LIMIT: At = 2000;

#[derive(Default)]
pub(crate) struct Callers {
    next: u64,
    writes: BTreeMap<Tag, Write>,
    pub(crate) reads: BTreeMap<Tag, Read>,
    /// Each session's last acknowledged write, as its token states it.
    pub(crate) floors: BTreeMap<u64, (Floor, WriteId)>,
    pub(crate) acknowledged: BTreeMap<WriteId, Ack>,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
}

/// How often each thing happened, so that a check of nothing is seen.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) acknowledged: u64,
    pub(crate) unknown: u64,
    pub(crate) reruns: u64,
    pub(crate) already_ran: u64,
    pub(crate) replica_reads: u64,
    pub(crate) primary_reads: u64,
    pub(crate) read_retries: u64,
    pub(crate) floors_cut: u64,
    pub(crate) promotions: u64,
}

pub(crate) struct Ack {
    pub(crate) term: Term,
    pub(crate) at: At,
}

struct Write {
    host: usize,
    session: u64,
    id: WriteId,
    has_request_id: bool,
    primary: InstanceId,
    evidence: Option<CommitEvidence>,
    started_at: At,
}

impl Callers {
    /// With confirmed writes, a new primary holds all that lower terms acknowledged.
    ///
    /// A promotion may also come late, after a higher term began; such a primary holds nothing of
    /// the higher term, and can acknowledge nothing.
    pub(crate) fn check_promoted(&mut self, promoted: &Instance, config: &ServiceConfig) {
        self.counts.promotions += 1;
        if config.confirm == Confirm::None {
            return;
        }
        let lower = self
            .acknowledged
            .iter()
            .filter(|(_, ack)| ack.term < promoted.term);
        for (id, _) in lower.filter(|(id, _)| !promoted.has(**id)) {
            self.violations.push(format!(
                "write {id} is lost: {} was promoted to {} without it",
                promoted.name, promoted.term
            ));
        }
    }

    /// Whether a write of a higher term than `term` was acknowledged.
    pub(crate) fn has_acknowledged_past(&self, term: Term) -> bool {
        self.acknowledged.values().any(|ack| ack.term > term)
    }

    fn acknowledge(&mut self, at: At, write: &Write, term: Term, position: Position) {
        self.counts.acknowledged += 1;
        self.acknowledged.insert(write.id, Ack { term, at });
        let floor = Floor {
            service: "shares".into(),
            term,
            position,
        };
        self.floors.insert(write.session, (floor, write.id));
    }
}

impl World {
    /// A caller writes or reads at some host.
    pub(crate) fn call(&mut self) {
        let host = usize::try_from(self.random.below(3)).expect("it is small");
        let session = self.random.below(SESSIONS);
        self.callers.next += 1;
        let tag = self.callers.next;
        if self.random.percent(40) {
            let has_request_id = self.random.percent(50);
            self.start_write(host, session, tag, tag, has_request_id);
        } else {
            self.start_read(host, session, tag);
        }
    }

    fn start_write(&mut self, host: usize, session: u64, tag: Tag, id: WriteId, has_id: bool) {
        let Some(primary) = self.hosts[host].failover.view().primary.clone() else {
            return;
        };
        let write = Write {
            host,
            session,
            id,
            has_request_id: has_id,
            primary: primary.clone(),
            evidence: None,
            started_at: self.now,
        };
        self.callers.writes.insert(tag, write);
        let has_record = has_id && self.planted != Planted::AtMostOnceIgnored;
        let write = id;
        self.ask(
            host,
            &primary,
            Ask::Commit {
                tag,
                write,
                has_record,
            },
        );
    }

    pub(crate) fn on_caller_answer(
        &mut self,
        host: usize,
        instance: &InstanceId,
        ask: &Ask,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        match ask {
            Ask::Commit { tag, .. } => self.on_commit(*tag, asked_at, answer),
            Ask::Confirm { tag } => self.on_confirm(*tag, instance, asked_at, answer),
            Ask::ProveAgain { tag } => self.on_proved(*tag, asked_at, answer),
            Ask::Lookup { tag, write } => {
                let answer = answer.as_ref().map(|(_, answer)| answer);
                self.on_lookup(host, *tag, *write, answer);
            }
            Ask::Read { tag } => self.on_read(*tag, asked_at, answer),
            Ask::Status
            | Ask::Fence { .. }
            | Ask::Promote { .. }
            | Ask::Follow { .. }
            | Ask::CatchUp { .. } => {}
        }
    }

    fn on_commit(
        &mut self,
        tag: Tag,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        match answer {
            Some((status, Answer::Committed)) => {
                let Some(write) = self.callers.writes.get_mut(&tag) else {
                    return;
                };
                write.evidence = Some(CommitEvidence {
                    primary: status.instance.clone(),
                    term: status.term,
                    position: status.last_commit,
                    primary_asked_at: asked_at,
                    replicas: BTreeMap::new(),
                });
                self.ask_replicas(tag);
            }
            Some((_, Answer::AlreadyRan)) => {
                self.callers.counts.already_ran += 1;
                self.callers.writes.remove(&tag);
            }
            Some(_) => {
                self.callers.writes.remove(&tag);
            }
            None => self.end_unknown(tag),
        }
    }

    fn ask_replicas(&mut self, tag: Tag) {
        let Some(write) = self.callers.writes.get(&tag) else {
            return;
        };
        let (host, primary) = (write.host, write.primary.clone());
        let names: Vec<_> = self.config.instances.keys().cloned().collect();
        for name in names.iter().filter(|name| **name != primary) {
            self.ask(host, name, Ask::Confirm { tag });
        }
    }

    fn on_confirm(
        &mut self,
        tag: Tag,
        instance: &InstanceId,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        let write = self.callers.writes.get_mut(&tag);
        let evidence = write.and_then(|write| write.evidence.as_mut());
        let (Some(evidence), Some((status, _))) = (evidence, answer) else {
            return;
        };
        let known = evidence.replicas.get(instance);
        if known.is_none_or(|known| known.asked_at <= asked_at) {
            let answer = ReplicaAnswer { asked_at, status };
            evidence.replicas.insert(instance.clone(), answer);
        }
        self.decide(tag);
    }

    fn on_proved(
        &mut self,
        tag: Tag,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        let write = self.callers.writes.get_mut(&tag);
        let evidence = write.and_then(|write| write.evidence.as_mut());
        let (Some(evidence), Some((status, _))) = (evidence, answer) else {
            return;
        };
        if status.is_primary_of(evidence.term) {
            evidence.primary_asked_at = evidence.primary_asked_at.max(asked_at);
            self.decide(tag);
        } else {
            self.end_unknown(tag);
        }
    }

    fn decide(&mut self, tag: Tag) {
        let Some(write) = self.callers.writes.get(&tag) else {
            return;
        };
        let Some(evidence) = &write.evidence else {
            return;
        };
        let now = self.clock(write.host);
        match evidence.decide(&self.config, &Authority::default(), now) {
            AckDecision::Acknowledge => {
                let (term, position) = (evidence.term, evidence.position);
                if let Some(write) = self.callers.writes.remove(&tag) {
                    self.callers.acknowledge(self.now, &write, term, position);
                    self.check_acknowledged(write.id, term);
                }
            }
            AckDecision::AskPrimary => {
                let (host, primary) = (write.host, write.primary.clone());
                self.ask(host, &primary, Ask::ProveAgain { tag });
            }
            AckDecision::AskReplicas => {}
            AckDecision::Unknown(_) => self.end_unknown(tag),
        }
    }

    fn check_acknowledged(&mut self, id: WriteId, term: Term) {
        let replaced = self.promoted_at.range(term + 1..).next();
        if let Some((new_term, at)) = replaced {
            self.callers.violations.push(format!(
                "write {id} of term {term} is acknowledged at {}, after term {new_term} began at {at}",
                self.now
            ));
        }
    }

    pub(crate) fn tick_callers(&mut self, host: usize) {
        let own = self
            .callers
            .writes
            .iter()
            .filter(|(_, write)| write.host == host);
        let pending: Vec<_> = own
            .filter(|(_, write)| write.evidence.is_some())
            .map(|(tag, write)| (*tag, write.started_at))
            .collect();
        for (tag, started_at) in pending {
            if self.now - started_at > CONFIRM_LIMIT {
                self.end_unknown(tag);
            } else {
                self.ask_replicas(tag);
                self.decide(tag);
            }
        }
    }

    // The caller is told that it can't be known; some ask again at another host.
    fn end_unknown(&mut self, tag: Tag) {
        let Some(write) = self.callers.writes.remove(&tag) else {
            return;
        };
        self.callers.counts.unknown += 1;
        let host = (write.host + 1) % 3;
        let primary = self.hosts[host].failover.view().primary.clone();
        let Some(primary) = primary else {
            return;
        };
        self.callers.next += 1;
        let next = self.callers.next;
        let id = write.id;
        self.callers.writes.insert(
            next,
            Write {
                host,
                evidence: None,
                ..write
            },
        );
        self.ask(
            host,
            &primary,
            Ask::Lookup {
                tag: next,
                write: id,
            },
        );
    }

    fn on_lookup(&mut self, host: usize, tag: Tag, id: WriteId, answer: Option<&Answer>) {
        let Some(write) = self.callers.writes.remove(&tag) else {
            return;
        };
        let lookup = match answer {
            Some(Answer::Found(true)) => OutcomeLookup::Found,
            Some(Answer::Found(false)) => OutcomeLookup::Absent,
            Some(_) | None => OutcomeLookup::Unavailable,
        };
        let history = RequestHistory {
            is_idempotent: false,
            has_request_id: write.has_request_id,
            progress: AttemptProgress::Sent,
            lookup: Some(lookup),
        };
        let decision = if self.planted == Planted::AtMostOnceIgnored {
            RerunDecision::MayRun
        } else {
            decide_rerun(&history)
        };
        match decision {
            RerunDecision::MayRun => {
                self.callers.counts.reruns += 1;
                let (session, has_id) = (write.session, write.has_request_id);
                self.start_write(host, session, tag, id, has_id);
            }
            RerunDecision::AlreadyRan => self.callers.counts.already_ran += 1,
            RerunDecision::StillUnknown => {}
        }
    }
}
