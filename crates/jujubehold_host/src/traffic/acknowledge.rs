//! Gathers the evidence for a commit until it may be acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jujubehold_core::acknowledgement::{AckDecision, CommitEvidence, ReplicaAnswer};
use jujubehold_core::prelude::*;
use tokio::sync::oneshot;

use super::status_queries::query_status;
use crate::observation::Observation;
use crate::routing_table::ServiceRoute;
use crate::shared::Shared;

/// A commit that the primary answered.
#[derive(Debug, Clone)]
pub(crate) struct Commit {
    /// The primary that committed.
    pub(crate) instance: InstanceId,
    /// The primary's term.
    pub(crate) term: Term,
    /// The position of the commit.
    pub(crate) position: Position,
    /// When the primary's status was requested.
    pub(crate) primary_query_sent_at: Monotonic,
}

/// Waits until `commit` may be acknowledged; the caller must send the acknowledgement immediately.
///
/// # Errors
/// Returns why it can't be determined whether the commit is durable.
pub(crate) async fn acknowledge(
    shared: &Arc<Shared>,
    route: &ServiceRoute,
    commit: Commit,
    deadline: Monotonic,
) -> Result<(), UnknownReason> {
    let service = &route.config.service;
    let mut evidence = CommitEvidence {
        primary: commit.instance.clone(),
        term: commit.term,
        position: commit.position,
        primary_query_sent_at: commit.primary_query_sent_at,
        replicas: known_answers(route, &commit.instance),
    };
    let mut asked = BTreeSet::new();
    let mut answers = FuturesUnordered::new();
    loop {
        let now = shared.clock.now();
        let decision = evidence.decide(&route.config, &shared.settings.authority, now);
        match decision {
            AckDecision::Acknowledge => return Ok(()),
            AckDecision::Unknown(reason) => return Err(reason),
            AckDecision::AskPrimary | AckDecision::AskReplicas => {}
        }
        if now >= deadline {
            return Err(UnknownReason::NotConfirmed);
        }
        let asks_primary = decision == AckDecision::AskPrimary;
        for instance in route.config.instances.keys() {
            let is_primary = *instance == commit.instance;
            if is_primary != asks_primary || !asked.insert(instance.clone()) {
                continue;
            }
            let position = if is_primary { 0 } else { commit.position };
            let reply = query_status(shared, service, instance, commit.term, position);
            answers.push(receive_answer(instance.clone(), reply));
        }
        let next = tokio::time::timeout(deadline.saturating_sub(now), answers.next());
        let Ok(Some((instance, answer))) = next.await else {
            return Err(UnknownReason::NotConfirmed);
        };
        asked.remove(&instance);
        let Some(answer) = answer else {
            continue;
        };
        if instance != commit.instance {
            evidence.replicas.insert(instance, answer);
        } else if answer.status.is_primary_of(commit.term) {
            evidence.primary_query_sent_at = answer.sent_at;
        } else {
            return Err(UnknownReason::AuthorityLost);
        }
    }
}

/// Updates `view` with fresh proofs of the current term, unless it has them already; gives up at
/// `deadline`.
pub(crate) async fn prove_term(
    shared: &Arc<Shared>,
    route: &ServiceRoute,
    view: &mut GroupView,
    deadline: Monotonic,
) {
    let service = &route.config.service;
    let window = shared.settings.authority.window;
    let mut answers = FuturesUnordered::new();
    for instance in route.config.instances.keys() {
        if view.primary.as_ref() != Some(instance) {
            let reply = query_status(shared, service, instance, view.term, 0);
            answers.push(receive_answer(instance.clone(), reply));
        }
    }
    loop {
        let now = shared.clock.now();
        let is_proved = view
            .term_proof(&route.config)
            .is_some_and(|sent_at| sent_at + window > now);
        if is_proved || now >= deadline {
            return;
        }
        let next = tokio::time::timeout(deadline.saturating_sub(now), answers.next());
        let Ok(Some((_, answer))) = next.await else {
            return;
        };
        let Some(answer) = answer else {
            continue;
        };
        // The control thread ends only with the host.
        let _ = shared.observations.send(Observation::Status {
            service: service.clone(),
            sent_at: answer.sent_at,
            status: answer.status.clone(),
        });
        view.observe(answer.sent_at, answer.status);
    }
}

async fn receive_answer(
    instance: InstanceId,
    reply: oneshot::Receiver<ReplicaAnswer>,
) -> (InstanceId, Option<ReplicaAnswer>) {
    (instance, reply.await.ok())
}

// The statuses that probes returned may suffice to prove the term.
fn known_answers(
    route: &ServiceRoute,
    primary: &InstanceId,
) -> BTreeMap<InstanceId, ReplicaAnswer> {
    let samples = route.view.samples.iter();
    samples
        .filter(|(instance, _)| *instance != primary)
        .filter(|(instance, _)| route.config.instances.contains_key(*instance))
        .map(|(instance, sample)| {
            let answer = ReplicaAnswer {
                sent_at: sample.sent_at,
                status: sample.status.clone(),
            };
            (instance.clone(), answer)
        })
        .collect()
}
