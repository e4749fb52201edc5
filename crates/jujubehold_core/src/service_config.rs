//! What the operators decided about one service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::{DomainId, Generation, InstanceId, RegionId, ServiceId};
use crate::value_type;

value_type! {
    /// The accepted configuration of one service.
    pub struct ServiceConfig {
        /// The service's name, which callers give as their database.
        pub service: ServiceId,
        /// One higher at each accepted change; a host never applies a lower one.
        pub generation: Generation,
        /// The upstream instances by name.
        pub instances: BTreeMap<InstanceId, InstanceConfig>,
        /// The lists of instances that other hosts may still go by, which no text states; see
        /// [`FormerMembers`](crate::former_members::FormerMembers).
        pub former_members: Vec<BTreeSet<InstanceId>>,
        /// Whether a write is acknowledged only after a replica has it.
        pub confirm: Confirm,
        /// How old the data of a read may be when the session has no floor above it; zero asks
        /// for the primary's position as of the request.
        pub read_age: Duration,
        /// How many statements an instance runs at once.
        pub slots: u32,
        /// How many requests may wait on one host for each
        /// [`SlotTarget`](crate::admission::SlotTarget)'s slots.
        pub queue: u32,
        /// How long a statement may take, from its arrival to its answer.
        pub statement_timeout: Duration,
        /// The instance that the operators want as primary; `None` leaves it to the failover.
        pub preferred_primary: Option<InstanceId>,
        /// The callers by name, with the secrets that check their passwords.
        pub callers: BTreeMap<SmolStr, SmolStr>,
    }

    /// One upstream instance of a service.
    pub struct InstanceConfig {
        /// Where the instance listens.
        pub address: SocketAddr,
        /// The failure domain that the instance is in.
        pub domain: DomainId,
        /// The region of that failure domain.
        pub region: RegionId,
        /// Whether the instance takes new work.
        pub state: InstanceState,
        /// The most connections that the instance takes.
        pub connections: u32,
    }
}

crate::key_type! {
    /// Whether an instance takes new work.
    pub enum InstanceState {
        /// It takes work.
        Active,
        /// It gets no new work; what runs may end.
        Leaving,
    }

    /// What stands behind an acknowledged write.
    pub enum Confirm {
        /// The primary alone has committed it.
        None,
        /// A replica has received it too, so that it survives the loss of the primary.
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
    /// Whether the instances that `counts` takes are a majority, also of each former list.
    pub fn is_majority(&self, counts: impl Fn(&InstanceId) -> bool) -> bool {
        self.counted(counts)
            .all(|(counted, members)| counted > members / 2)
    }

    /// Whether the instances that `counts` takes meet every majority that could have been fenced,
    /// also of each former list.
    ///
    /// With three instances two do: every majority then contains one of them.
    pub fn meets_every_majority(&self, counts: impl Fn(&InstanceId) -> bool) -> bool {
        self.counted(counts)
            .all(|(counted, members)| counted >= members - members / 2)
    }

    /// The fewest replicas that must hold a write before it is acknowledged, however small the
    /// group is.
    pub fn least_holders(&self) -> usize {
        match self.confirm {
            Confirm::None => 0,
            Confirm::Replica => 1,
        }
    }

    // How many of each list's members `counts` takes, and how many there are.
    fn counted(
        &self,
        counts: impl Fn(&InstanceId) -> bool,
    ) -> impl Iterator<Item = (usize, usize)> {
        let own = self.instances.keys().filter(|name| counts(name)).count();
        let former = self.former_members.iter().map(move |list| {
            let counted = list.iter().filter(|name| counts(name)).count();
            (counted, list.len())
        });
        std::iter::once((own, self.instances.len())).chain(former)
    }
}
