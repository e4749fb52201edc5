//! Callers that read, and what must hold for them.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehold_core::authority::Authority;
use jujubehold_core::prelude::*;
use jujubehold_core::read_candidates::{ReadContext, read_candidates};
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_core::session_floor::FloorKnowledge;

use crate::instance::WriteId;
use crate::message::{Answer, Ask, Tag};
use crate::world::{At, Planted, World};

/// A read under way.
pub(crate) struct Read {
    host: usize,
    need: ReadNeed,
    /// The write of the session's floor.
    floor_write: Option<WriteId>,
    arrived_at: At,
    candidates: Vec<InstanceId>,
}

impl World {
    /// A caller reads at some host.
    pub(crate) fn start_read(&mut self, host: usize, session: u64, tag: Tag) {
        let now = self.clock(host);
        let floor = self.callers.floors.get(&session).cloned();
        let knowledge = match &floor {
            Some((floor, _)) => FloorKnowledge::Floor(floor.clone()),
            None => FloorKnowledge::Unknown,
        };
        // Every second read asks for the data as of the request, whatever its session knows.
        let is_as_of_request = tag.is_multiple_of(2);
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
                .expect("three")
                .domain
                .clone(),
            region: "south".into(),
            now,
            max_catch_up_wait: Duration::ZERO,
            spread_seed: tag,
        };
        let view = self.hosts[host].failover.view();
        let mut candidates = read_candidates(&self.config, view, &need, &context);
        candidates.reverse();
        let floor_write = floor
            .map(|(_, write)| write)
            .filter(|_| need.floor.is_some());
        let read = Read {
            host,
            need,
            floor_write,
            arrived_at: self.now,
            candidates,
        };
        self.callers.reads.insert(tag, read);
        self.try_next_read(tag);
    }

    fn try_next_read(&mut self, tag: Tag) {
        let Some(read) = self.callers.reads.get_mut(&tag) else {
            return;
        };
        let host = read.host;
        match read.candidates.pop() {
            Some(instance) => self.ask(host, &instance, Ask::Read { tag }),
            None => {
                self.callers.reads.remove(&tag);
            }
        }
    }

    /// Takes in an instance's answer to a read; `None` when there was none.
    pub(crate) fn on_read(
        &mut self,
        tag: Tag,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        let Some((status, Answer::Data(data))) = answer else {
            self.try_next_read(tag);
            return;
        };
        let Some(read) = self.callers.reads.get(&tag) else {
            return;
        };
        let view = self.hosts[read.host].failover.view();
        let authority = Authority::default();
        let judgement = if self.planted == Planted::FloorCheckIgnored {
            ReadJudgement::Serve
        } else {
            read.need
                .judge(&self.config, view, &authority, asked_at, &status)
        };
        match judgement {
            ReadJudgement::Serve => self.check_read(tag, &status, &data),
            ReadJudgement::Retry => {
                self.callers.counts.read_retries += 1;
                self.try_next_read(tag);
            }
            ReadJudgement::FloorLost => {
                self.callers.counts.floors_cut += 1;
                self.callers.reads.remove(&tag);
            }
        }
    }

    fn check_read(&mut self, tag: Tag, status: &InstanceStatus, data: &[WriteId]) {
        let Some(read) = self.callers.reads.remove(&tag) else {
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
        // Without confirmation a failover may drop what was acknowledged, which only a floor
        // tells.
        if self.config.confirm == Confirm::None {
            return;
        }
        let missing = self
            .callers
            .acknowledged
            .iter()
            .find(|(id, ack)| ack.at < read.arrived_at && !data.contains(id));
        if let Some((id, ack)) = missing {
            let message = format!(
                "a read of {} lacks write {id}, acknowledged at {} in term {}",
                read.arrived_at, ack.at, ack.term
            );
            self.callers.violations.push(message);
        }
    }
}
