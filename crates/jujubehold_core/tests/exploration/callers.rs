//! Simulated callers that write, and the invariants of their writes.

use std::collections::BTreeMap;

use jujubehold_core::acknowledgement::{AckDecision, CommitEvidence, ReplicaAnswer};
use jujubehold_core::authority::Authority;
use jujubehold_core::outcome::{
    AttemptProgress, OutcomeLookup, RequestHistory, RerunDecision, decide_rerun,
};
use jujubehold_core::prelude::*;

use crate::caller_reads::PendingRead;
use crate::instance::{Instance, WriteId};
use crate::message::{OperationId, Reply, Request};
use crate::simulation::{InjectedBug, SimTime, Simulation};

const SESSION_COUNT: u64 = 4;

/// How long a host tries to confirm a commit, in milliseconds.
const CONFIRM_TIMEOUT_MS: SimTime = 2000;

#[derive(Default)]
pub(crate) struct Callers {
    last_operation: u64,
    writes: BTreeMap<OperationId, PendingWrite>,
    pub(crate) reads: BTreeMap<OperationId, PendingRead>,
    /// The last acknowledged write of each session, as its token states it.
    pub(crate) floors: BTreeMap<u64, (Floor, WriteId)>,
    pub(crate) acknowledged: BTreeMap<WriteId, Acknowledgement>,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
}

/// The number of times that each event happened, so that a run that checked nothing is noticed.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) acknowledged: u64,
    pub(crate) unknown: u64,
    pub(crate) reruns: u64,
    pub(crate) already_ran: u64,
    pub(crate) replica_reads: u64,
    pub(crate) primary_reads: u64,
    pub(crate) read_retries: u64,
    pub(crate) lost_floors: u64,
    pub(crate) promotions: u64,
}

pub(crate) struct Acknowledgement {
    pub(crate) term: Term,
    pub(crate) at: SimTime,
}

struct PendingWrite {
    host: usize,
    session: u64,
    id: WriteId,
    has_request_id: bool,
    primary: InstanceId,
    evidence: Option<CommitEvidence>,
    started_at: SimTime,
}

impl Callers {
    /// Checks that, with confirmed writes, a new primary holds all writes that lower terms
    /// acknowledged.
    ///
    /// A promotion may also arrive late, after a higher term began. Such a primary lacks the writes
    /// of the higher term, and can acknowledge nothing.
    pub(crate) fn check_promoted(&mut self, promoted: &Instance, config: &ServiceConfig) {
        self.counts.promotions += 1;
        if config.confirm == Confirm::None {
            return;
        }
        let lower = self
            .acknowledged
            .iter()
            .filter(|(_, acknowledgement)| acknowledgement.term < promoted.term);
        for (id, _) in lower.filter(|(id, _)| !promoted.has(**id)) {
            self.violations.push(format!(
                "write {id} is lost: {} was promoted to {} without it",
                promoted.name, promoted.term
            ));
        }
    }

    /// Returns whether a write of a term higher than `term` was acknowledged.
    pub(crate) fn has_acknowledged_after_term(&self, term: Term) -> bool {
        self.acknowledged
            .values()
            .any(|acknowledgement| acknowledgement.term > term)
    }

    fn acknowledge(&mut self, at: SimTime, write: &PendingWrite, term: Term, position: Position) {
        self.counts.acknowledged += 1;
        self.acknowledged
            .insert(write.id, Acknowledgement { term, at });
        let floor = Floor {
            service: "shares".into(),
            term,
            position,
        };
        self.floors.insert(write.session, (floor, write.id));
    }
}

impl Simulation {
    /// Starts a write or a read of a caller at a random host.
    pub(crate) fn start_operation(&mut self) {
        let host = usize::try_from(self.random.below(3)).expect("the value is small");
        let session = self.random.below(SESSION_COUNT);
        self.callers.last_operation += 1;
        let operation = self.callers.last_operation;
        if self.random.percent(40) {
            let has_request_id = self.random.percent(50);
            self.start_write(host, session, operation, operation, has_request_id);
        } else {
            self.start_read(host, session, operation);
        }
    }

    fn start_write(
        &mut self,
        host: usize,
        session: u64,
        operation: OperationId,
        id: WriteId,
        has_id: bool,
    ) {
        let Some(primary) = self.hosts[host].failover.view().primary.clone() else {
            return;
        };
        let write = PendingWrite {
            host,
            session,
            id,
            has_request_id: has_id,
            primary: primary.clone(),
            evidence: None,
            started_at: self.now,
        };
        self.callers.writes.insert(operation, write);
        let has_record = has_id && self.injected_bug != InjectedBug::AtMostOnceIgnored;
        let write = id;
        self.send(
            host,
            &primary,
            Request::Commit {
                operation,
                write,
                has_record,
            },
        );
    }

    pub(crate) fn on_call_reply(
        &mut self,
        host: usize,
        instance: &InstanceId,
        request: &Request,
        sent_at: Monotonic,
        reply: Option<(InstanceStatus, Reply)>,
    ) {
        match request {
            Request::Commit { operation, .. } => self.on_commit(*operation, sent_at, reply),
            Request::Confirm { operation } => self.confirm(*operation, instance, sent_at, reply),
            Request::ProveAgain { operation } => self.on_proved(*operation, sent_at, reply),
            Request::Lookup { operation, write } => {
                let reply = reply.as_ref().map(|(_, reply)| reply);
                self.on_lookup(host, *operation, *write, reply);
            }
            Request::Read { operation } => self.on_read(*operation, sent_at, reply),
            Request::Status
            | Request::Fence { .. }
            | Request::Promote { .. }
            | Request::Follow { .. }
            | Request::CatchUp { .. } => {}
        }
    }

    fn on_commit(
        &mut self,
        operation: OperationId,
        sent_at: Monotonic,
        reply: Option<(InstanceStatus, Reply)>,
    ) {
        match reply {
            Some((status, Reply::Committed)) => {
                let Some(write) = self.callers.writes.get_mut(&operation) else {
                    return;
                };
                write.evidence = Some(CommitEvidence {
                    primary: status.instance.clone(),
                    term: status.term,
                    position: status.last_commit,
                    primary_query_sent_at: sent_at,
                    replicas: BTreeMap::new(),
                });
                self.ask_replicas(operation);
            }
            Some((_, Reply::AlreadyRan)) => {
                self.callers.counts.already_ran += 1;
                self.callers.writes.remove(&operation);
            }
            Some(_) => {
                self.callers.writes.remove(&operation);
            }
            None => self.finish_as_unknown(operation),
        }
    }

    fn ask_replicas(&mut self, operation: OperationId) {
        let Some(write) = self.callers.writes.get(&operation) else {
            return;
        };
        let (host, primary) = (write.host, write.primary.clone());
        let names: Vec<_> = self.config.instances.keys().cloned().collect();
        for name in names.iter().filter(|name| **name != primary) {
            self.send(host, name, Request::Confirm { operation });
        }
    }

    fn confirm(
        &mut self,
        operation: OperationId,
        instance: &InstanceId,
        sent_at: Monotonic,
        reply: Option<(InstanceStatus, Reply)>,
    ) {
        let write = self.callers.writes.get_mut(&operation);
        let evidence = write.and_then(|write| write.evidence.as_mut());
        let (Some(evidence), Some((status, _))) = (evidence, reply) else {
            return;
        };
        let known = evidence.replicas.get(instance);
        if known.is_none_or(|known| known.sent_at <= sent_at) {
            let reply = ReplicaAnswer { sent_at, status };
            evidence.replicas.insert(instance.clone(), reply);
        }
        self.decide(operation);
    }

    fn on_proved(
        &mut self,
        operation: OperationId,
        sent_at: Monotonic,
        reply: Option<(InstanceStatus, Reply)>,
    ) {
        let write = self.callers.writes.get_mut(&operation);
        let evidence = write.and_then(|write| write.evidence.as_mut());
        let (Some(evidence), Some((status, _))) = (evidence, reply) else {
            return;
        };
        if status.is_primary_of(evidence.term) {
            evidence.primary_query_sent_at = evidence.primary_query_sent_at.max(sent_at);
            self.decide(operation);
        } else {
            self.finish_as_unknown(operation);
        }
    }

    fn decide(&mut self, operation: OperationId) {
        let Some(write) = self.callers.writes.get(&operation) else {
            return;
        };
        let Some(evidence) = &write.evidence else {
            return;
        };
        let now = self.clock(write.host);
        match evidence.decide(&self.config, &Authority::default(), now) {
            AckDecision::Acknowledge => {
                let (term, position) = (evidence.term, evidence.position);
                if let Some(write) = self.callers.writes.remove(&operation) {
                    self.callers.acknowledge(self.now, &write, term, position);
                    self.check_acknowledged(write.id, term);
                }
            }
            AckDecision::AskPrimary => {
                let (host, primary) = (write.host, write.primary.clone());
                self.send(host, &primary, Request::ProveAgain { operation });
            }
            AckDecision::AskReplicas => {}
            AckDecision::Unknown(_) => self.finish_as_unknown(operation),
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
            .map(|(operation, write)| (*operation, write.started_at))
            .collect();
        for (operation, started_at) in pending {
            if self.now - started_at > CONFIRM_TIMEOUT_MS {
                self.finish_as_unknown(operation);
            } else {
                self.ask_replicas(operation);
                self.decide(operation);
            }
        }
    }

    // Ends a write with an unknown outcome and looks the outcome up through another host, as some
    // callers do.
    fn finish_as_unknown(&mut self, operation: OperationId) {
        let Some(write) = self.callers.writes.remove(&operation) else {
            return;
        };
        self.callers.counts.unknown += 1;
        let host = (write.host + 1) % 3;
        let primary = self.hosts[host].failover.view().primary.clone();
        let Some(primary) = primary else {
            return;
        };
        self.callers.last_operation += 1;
        let next = self.callers.last_operation;
        let id = write.id;
        self.callers.writes.insert(
            next,
            PendingWrite {
                host,
                evidence: None,
                ..write
            },
        );
        self.send(
            host,
            &primary,
            Request::Lookup {
                operation: next,
                write: id,
            },
        );
    }

    fn on_lookup(
        &mut self,
        host: usize,
        operation: OperationId,
        id: WriteId,
        reply: Option<&Reply>,
    ) {
        let Some(write) = self.callers.writes.remove(&operation) else {
            return;
        };
        let lookup = match reply {
            Some(Reply::Found(true)) => OutcomeLookup::Found,
            Some(Reply::Found(false)) => OutcomeLookup::Absent,
            Some(_) | None => OutcomeLookup::Unavailable,
        };
        let history = RequestHistory {
            is_idempotent: false,
            has_request_id: write.has_request_id,
            progress: AttemptProgress::Sent,
            lookup: Some(lookup),
        };
        let decision = if self.injected_bug == InjectedBug::AtMostOnceIgnored {
            RerunDecision::MayRun
        } else {
            decide_rerun(&history)
        };
        match decision {
            RerunDecision::MayRun => {
                self.callers.counts.reruns += 1;
                let (session, has_id) = (write.session, write.has_request_id);
                self.start_write(host, session, operation, id, has_id);
            }
            RerunDecision::AlreadyRan => self.callers.counts.already_ran += 1,
            RerunDecision::StillUnknown => {}
        }
    }
}
