//! Background tasks of a host: configuration, membership in the list of hosts, and the choice of
//! each service's primary.

mod directory;
mod first_primaries;
mod host_names;
mod instances;
mod lead_document;
mod lead_reader;
mod lead_recovery;
mod member_document;
mod membership;
mod peer_message;
mod peer_questions;
mod peers;
mod pool_keeper;
mod primary_change;
mod primary_keeper;
mod primary_probe;
mod proof_answers;
mod proof_questions;
mod quotas;
mod replica_document;
mod replica_evidence;
mod replica_records;
mod status_calls;
mod store_calls;
mod table_access;

use crate::prelude::*;

pub(crate) use host_names::HostNames;
pub(crate) use membership::leave;
pub(crate) use peers::Peers;
pub(crate) use quotas::{AdmittedOperation, Quotas, admit, expect_operation, give_back};
pub(crate) use store_calls::StoreHealth;

/// Starts all background tasks.
pub(crate) fn start<P: Platform>(shared: &Rc<Shared<P>>, peers: &Rc<Peers>) {
    shared.quotas.set_peers(Rc::clone(peers));
    actix_rt::spawn(quotas::keep_shares(Rc::clone(shared)));
    actix_rt::spawn(host_names::keep_names(Rc::clone(shared)));
    actix_rt::spawn(directory::follow_directory(
        Rc::clone(shared),
        Rc::clone(peers),
    ));
    actix_rt::spawn(directory::report_directory_age(Rc::clone(shared)));
    actix_rt::spawn(membership::keep_membership(
        Rc::clone(shared),
        peers.address(),
    ));
    actix_rt::spawn(lead_reader::maintain_proof(
        Rc::clone(shared),
        Rc::clone(peers),
    ));
    actix_rt::spawn(replica_evidence::collect_evidence(Rc::clone(shared)));
    actix_rt::spawn(replica_records::keep_records(Rc::clone(shared)));
    actix_rt::spawn(peers::receive(Rc::clone(shared), Rc::clone(peers)));
    actix_rt::spawn(pool_keeper::maintain_pools(Rc::clone(shared)));
    actix_rt::spawn(primary_probe::maintain_positions(Rc::clone(shared)));
    actix_rt::spawn(primary_keeper::monitor_primaries(
        Rc::clone(shared),
        Rc::clone(peers),
    ));
}

/// The prefix of the keys that all hosts read regularly.
pub(crate) const ENTRY_KEYS_PREFIX: &str = "jh/";
/// The key of the table with the leads of all services.
pub(crate) const LEAD_KEY: &str = "jh/lead";
/// The key that states the era of the store in which the table was written. It is written together
/// with the first table of an era, so a table that came back with a copy has an earlier era.
pub(crate) const LEAD_ERA_KEY: &str = "jh/lead-era";
/// The key that names the host that last ordered a promotion.
pub(crate) const DUTY_KEY: &str = "jh/duty";
/// The prefix of the keys that list the hosts, one per host.
pub(crate) const HOSTS_PREFIX: &str = "jh/host/";
/// The key of the record of the processes that have run for long.
pub(crate) const LONG_LIVED_KEY: &str = "jh/long-lived";
/// The prefix of the keys that record which instances may have confirmed commits, one per service.
/// They are read only by the host that keeps them, or that replaces a primary.
pub(crate) const REPLICAS_PREFIX: &str = "jh-replicas/";
/// The prefix of the keys that record the names of the hosts, one per host.
pub(crate) const NAMES_PREFIX: &str = "jh/name/";
