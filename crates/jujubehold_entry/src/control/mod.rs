//! What a host does beside its callers' requests: configuration, membership, leads.

mod instances;
mod lead_document;
mod lead_reader;
mod member_document;
mod membership;
mod peer_message;
mod peers;
mod pool_keeper;
mod primary_change;
mod primary_keeper;
mod primary_probe;
mod proof_answers;
mod proof_questions;
mod replica_questions;
mod status_calls;
mod store_calls;
mod store_watch;

use crate::prelude::*;

pub(crate) use membership::leave;
pub(crate) use peers::Peers;
pub(crate) use store_calls::StoreHealth;

/// Starts every task of control.
pub(crate) fn start<P: Platform>(shared: &Rc<Shared<P>>, peers: &Rc<Peers>) {
    actix_rt::spawn(store_watch::watch_store(Rc::clone(shared)));
    actix_rt::spawn(membership::keep_membership(
        Rc::clone(shared),
        peers.address(),
    ));
    actix_rt::spawn(lead_reader::keep_proof(Rc::clone(shared), Rc::clone(peers)));
    actix_rt::spawn(replica_questions::keep_evidence(Rc::clone(shared)));
    actix_rt::spawn(peers::receive(Rc::clone(shared), Rc::clone(peers)));
    actix_rt::spawn(pool_keeper::keep_pools(Rc::clone(shared)));
    actix_rt::spawn(primary_probe::keep_marks(Rc::clone(shared)));
    actix_rt::spawn(primary_keeper::keep_primaries(
        Rc::clone(shared),
        Rc::clone(peers),
    ));
}

/// The prefix of the hosts' own keys.
pub(crate) const OWN_PREFIX: &str = "jh/";
/// The key of the leads of all services.
pub(crate) const LEAD_KEY: &str = "jh/lead";
/// The key of the host that gave the last promotion order.
pub(crate) const DUTY_KEY: &str = "jh/duty";
/// The prefix of the hosts' keys.
pub(crate) const HOSTS_PREFIX: &str = "jh/host/";
