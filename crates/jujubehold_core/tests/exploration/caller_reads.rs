//! Simulated callers that read, and the invariants of their reads.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehold_core::authority::Authority;
use jujubehold_core::prelude::*;
use jujubehold_core::read_candidates::{ReadContext, read_candidates};
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_core::session_floor::FloorKnowledge;

use crate::instance::WriteId;
use crate::message::{OperationId, Reply, Request};
use crate::simulation::{InjectedBug, SimTime, Simulation};

/// A read that is in progress.
pub(crate) struct PendingRead {
    host: usize,
    need: ReadNeed,
    /// The write whose position is the session's floor.
    floor_write: Option<WriteId>,
    arrived_at: SimTime,
    candidates: Vec<InstanceId>,
}

impl Simulation {
    /// Starts a caller's read at a host.
    pub(crate) fn start_read(&mut self, host: usize, session: u64, operation: OperationId) {
        let now = self.clock(host);
        let floor = self.callers.floors.get(&session).cloned();
        let knowledge = match &floor {
            Some((floor, _)) => FloorKnowledge::Floor(floor.clone()),
            None => FloorKnowledge::Unknown,
        };
        // Every second read requires the data as of the request, whatever its session knows.
        let is_as_of_request = operation.is_multiple_of(2);
        let knowledge = if is_as_of_request {
            FloorKnowledge::Unknown
        } else {
            knowledge
        };
        let need = ReadNeed::new(&self.config, knowledge, now);
        let context = ReadContext {
            avoided: BTreeSet::new(),
            domain: self
                .config
                .instances
                .values()
                .nth(host)
                .expect("there are three instances")
                .domain
                .clone(),
            region: "south".into(),
            now,
            max_catch_up_wait: Duration::ZERO,
            spread_seed: operation,
        };
        let view = self.hosts[host].failover.view();
        let mut candidates = read_candidates(&self.config, view, &need, &context);
        candidates.reverse();
        let floor_write = floor
            .map(|(_, write)| write)
            .filter(|_| need.floor.is_some());
        let read = PendingRead {
            host,
            need,
            floor_write,
            arrived_at: self.now,
            candidates,
        };
        self.callers.reads.insert(operation, read);
        self.try_next_read(operation);
    }

    fn try_next_read(&mut self, operation: OperationId) {
        let Some(read) = self.callers.reads.get_mut(&operation) else {
            return;
        };
        let host = read.host;
        match read.candidates.pop() {
            Some(instance) => self.send(host, &instance, Request::Read { operation }),
            None => {
                self.callers.reads.remove(&operation);
            }
        }
    }

    /// Handles an instance's reply to a read; `None` is a timeout.
    pub(crate) fn on_read(
        &mut self,
        operation: OperationId,
        sent_at: Monotonic,
        reply: Option<(InstanceStatus, Reply)>,
    ) {
        let Some((status, Reply::Data(data))) = reply else {
            self.try_next_read(operation);
            return;
        };
        let Some(read) = self.callers.reads.get(&operation) else {
            return;
        };
        let view = self.hosts[read.host].failover.view();
        let authority = Authority::default();
        let judgement = if self.injected_bug == InjectedBug::FloorCheckIgnored {
            ReadJudgement::Serve
        } else {
            read.need
                .judge(&self.config, view, &authority, sent_at, &status)
        };
        match judgement {
            ReadJudgement::Serve => self.check_read(operation, &status, &data),
            ReadJudgement::Retry => {
                self.callers.counts.read_retries += 1;
                self.try_next_read(operation);
            }
            ReadJudgement::FloorLost => {
                self.callers.counts.lost_floors += 1;
                self.callers.reads.remove(&operation);
            }
        }
    }

    fn check_read(&mut self, operation: OperationId, status: &InstanceStatus, data: &[WriteId]) {
        let Some(read) = self.callers.reads.remove(&operation) else {
            return;
        };
        if status.role == Role::Primary {
            self.callers.counts.primary_reads += 1;
        } else {
            self.callers.counts.replica_reads += 1;
        }
        let data: BTreeSet<_> = data.iter().copied().collect();
        if let Some(write) = read.floor_write.filter(|write| !data.contains(write)) {
            let message = format!("a session read at {} without its write {write}", self.now);
            self.callers.violations.push(message);
        }
        // Without confirmation a failover may lose acknowledged writes, which only a floor reveals.
        if self.config.confirm == Confirm::None {
            return;
        }
        let missing = self
            .callers
            .acknowledged
            .iter()
            .find(|(id, acknowledgement)| {
                acknowledgement.at < read.arrived_at && !data.contains(id)
            });
        if let Some((id, acknowledgement)) = missing {
            let message = format!(
                "a read of {} lacks write {id}, acknowledged at {} in term {}",
                read.arrived_at, acknowledgement.at, acknowledgement.term
            );
            self.callers.violations.push(message);
        }
    }
}
