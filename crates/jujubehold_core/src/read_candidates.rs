//! Ranks the instances that may serve a read.
//!
//! The ranking is only an estimate. The answer is judged by the status that the instance returns on
//! the connection of the read, so a wrong estimate costs a retry but never causes a stale answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::floor::FloorCheck;
use crate::group_view::{GroupView, Sample};
use crate::ids::{DomainId, InstanceId, Monotonic, RegionId};
use crate::ownership::{mix, weight};
use crate::read_policy::ReadNeed;
use crate::service_config::{InstanceConfig, InstanceState, ServiceConfig};
use crate::value_type;

value_type! {
    /// The circumstances of a read that affect the ranking.
    pub struct ReadContext {
        /// The failure domain of this host.
        pub domain: DomainId,
        /// The region of this host.
        pub region: RegionId,
        /// The current time.
        pub now: Monotonic,
        /// The longest time that the read may wait for a replica to catch up.
        pub max_catch_up_wait: Duration,
        /// Instances that recently did not answer; they rank last.
        pub avoided: BTreeSet<InstanceId>,
        /// A number that differs between reads, so that they are spread over instances of equal
        /// rank.
        pub spread_seed: u64,
    }
}

crate::key_type! {
    // How likely an instance's answer is to meet the read's need, the best first.
    enum Suitability {
        Known,
        Likely,
        Primary,
        Unlikely,
    }

    enum Distance {
        SameDomain,
        SameRegion,
        OtherRegion,
    }
}

/// Returns the active instances that may serve a read, the most suitable first.
///
/// Replicas that probably meet the need come before the primary, which also has writes to serve.
/// Equally suitable instances are ordered by distance: the host's own failure domain, then its
/// region, then other regions.
pub fn read_candidates(
    config: &ServiceConfig,
    view: &GroupView,
    need: &ReadNeed,
    context: &ReadContext,
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = config
        .instances
        .iter()
        .filter(|(_, instance)| instance.state == InstanceState::Active)
        .filter_map(|(name, instance)| {
            let mut suitability =
                suitability(view, need, context.now + context.max_catch_up_wait, name)?;
            if context.avoided.contains(name) {
                suitability = Suitability::Unlikely;
            }
            let tie_breaker = mix(weight("read", name) ^ context.spread_seed);
            Some((suitability, distance(instance, context), tie_breaker, name))
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(.., name)| name.clone()).collect()
}

fn distance(instance: &InstanceConfig, context: &ReadContext) -> Distance {
    if instance.domain == context.domain {
        Distance::SameDomain
    } else if instance.region == context.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

// Returns `None` if the floor's write is not part of the instance's history.
fn suitability(
    view: &GroupView,
    need: &ReadNeed,
    ready_by: Monotonic,
    instance: &InstanceId,
) -> Option<Suitability> {
    if view.primary.as_ref() == Some(instance) {
        return Some(Suitability::Primary);
    }
    let Some(sample) = view.samples.get(instance) else {
        return Some(Suitability::Unlikely);
    };
    let floor_suitability = match &need.floor {
        None => Suitability::Known,
        Some(floor) => match floor.check(&sample.status) {
            FloorCheck::Lost => return None,
            FloorCheck::Reached => Suitability::Known,
            FloorCheck::Behind => {
                // A write that no sample covers yet was acknowledged before the read arrived.
                let written_at = view
                    .primary_positions
                    .reached_by_primary(view.term, floor.position)
                    .map_or(need.as_of, |at| at.min(need.as_of));
                catch_up_suitability(view, sample, ready_by, written_at)
            }
        },
    };
    Some(floor_suitability.max(age_suitability(view, need, sample, ready_by)))
}

fn age_suitability(
    view: &GroupView,
    need: &ReadNeed,
    sample: &Sample,
    ready_by: Monotonic,
) -> Suitability {
    // Without a position sample that is new enough, no answer can be proved new enough.
    let Some((position, written_at)) = view
        .primary_positions
        .complete_as_of(view.term, need.oldest_allowed())
    else {
        return Suitability::Unlikely;
    };
    if sample.status.applied >= position && sample.status.history.contains(view.term, position) {
        return Suitability::Known;
    }
    catch_up_suitability(view, sample, ready_by, written_at)
}

// Estimates, by the instance's lag, whether it will have applied by `ready_by` what the primary
// wrote at `written_at`.
fn catch_up_suitability(
    view: &GroupView,
    sample: &Sample,
    ready_by: Monotonic,
    written_at: Monotonic,
) -> Suitability {
    let is_in_term = sample.status.term == view.term;
    if is_in_term && written_at + sample.lag <= ready_by {
        Suitability::Likely
    } else {
        Suitability::Unlikely
    }
}
