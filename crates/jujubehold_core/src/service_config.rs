//! The configuration of one service, as the operators set it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::{DomainId, Generation, InstanceId, RegionId, ServiceId};
use crate::value_type;

value_type! {
    /// The accepted configuration of one service.
    pub struct ServiceConfig {
        /// The service's name, which callers give as their database name.
        pub service: ServiceId,
        /// The generation, incremented at each accepted change; a host never applies a lower one.
        pub generation: Generation,
        /// The upstream instances, by name.
        pub instances: BTreeMap<InstanceId, InstanceConfig>,
        /// The lists of instances that other hosts may still use. They are not part of the
        /// configuration text; see [`FormerMembers`](crate::former_members::FormerMembers).
        pub former_members: Vec<BTreeSet<InstanceId>>,
        /// Whether a write is acknowledged only after a replica has received it.
        pub confirm: Confirm,
        /// The maximum age of the data of a read whose session has no higher floor; zero requires
        /// the primary's position at the time of the request.
        pub read_age: Duration,
        /// The number of statements that an instance runs at once.
        pub slots: u32,
        /// The number of requests that may wait on one host for the slots of each
        /// [`SlotTarget`](crate::admission::SlotTarget).
        pub queue: u32,
        /// The time that a statement may take, from its arrival to its answer.
        pub statement_timeout: Duration,
        /// The instance that the operators prefer as primary; `None` leaves the choice to the
        /// failover.
        pub preferred_primary: Option<InstanceId>,
        /// The callers by name, with the secrets against which their passwords are checked.
        pub callers: BTreeMap<SmolStr, SmolStr>,
    }

    /// One upstream instance of a service.
    pub struct InstanceConfig {
        /// The address on which the instance listens.
        pub address: SocketAddr,
        /// The failure domain that the instance is in.
        pub domain: DomainId,
        /// The region of that failure domain.
        pub region: RegionId,
        /// Whether the instance accepts new work.
        pub state: InstanceState,
        /// The most connections that the instance accepts.
        pub connections: u32,
    }
}

crate::key_type! {
    /// Whether an instance accepts new work.
    pub enum InstanceState {
        /// The instance accepts work.
        Active,
        /// The instance gets no new work; running work may finish.
        Leaving,
    }

    /// What must have happened to a write before it is acknowledged.
    pub enum Confirm {
        /// The primary has committed it.
        None,
        /// A replica has received it as well, so that it survives the loss of the primary.
        Replica,
    }
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            service: ServiceId::default(),
            generation: 0,
            instances: BTreeMap::new(),
            former_members: Vec::new(),
            confirm: Confirm::Replica,
            read_age: Duration::ZERO,
            slots: 3,
            queue: 64,
            statement_timeout: Duration::from_secs(10),
            preferred_primary: None,
            callers: BTreeMap::new(),
        }
    }
}

impl ServiceConfig {
    /// Returns whether the instances that `is_counted` selects are a majority of the current list
    /// of instances and of each former list.
    pub fn is_majority(&self, is_counted: impl Fn(&InstanceId) -> bool) -> bool {
        self.count_members(is_counted)
            .all(|(counted, members)| counted > members / 2)
    }

    /// Returns whether the instances that `is_counted` selects intersect every majority that could
    /// have been fenced, in the current list of instances and in each former list.
    ///
    /// Of three instances, two suffice: every majority then contains one of them.
    pub fn intersects_every_majority(&self, is_counted: impl Fn(&InstanceId) -> bool) -> bool {
        self.count_members(is_counted)
            .all(|(counted, members)| counted >= members - members / 2)
    }

    /// Returns the number of replicas that must hold a write before it is acknowledged, however
    /// small the group is.
    pub fn min_confirming_replicas(&self) -> usize {
        match self.confirm {
            Confirm::None => 0,
            Confirm::Replica => 1,
        }
    }

    // Returns, for each list, how many members `is_counted` selects and how many there are.
    fn count_members(
        &self,
        is_counted: impl Fn(&InstanceId) -> bool,
    ) -> impl Iterator<Item = (usize, usize)> {
        let current = self
            .instances
            .keys()
            .filter(|name| is_counted(name))
            .count();
        let former = self.former_members.iter().map(move |list| {
            let counted = list.iter().filter(|name| is_counted(name)).count();
            (counted, list.len())
        });
        std::iter::once((current, self.instances.len())).chain(former)
    }
}
