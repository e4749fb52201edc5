//! In which order the instances are tried for a read.
//!
//! What is known here is a guess: the answer is judged by the status that the instance gives on
//! the connection of the read, so a wrong guess costs a retry and never a stale answer.

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
    /// From where, when and for what the instances are ranked.
    pub struct ReadOrigin {
        /// This host's failure domain.
        pub domain: DomainId,
        /// Its region.
        pub region: RegionId,
        /// The present time.
        pub now: Monotonic,
        /// How long a replica may be waited for that will soon have what the read needs.
        pub patience: Duration,
        /// Instances that gave no answer of late.
        pub avoided: BTreeSet<InstanceId>,
        /// A number that differs from read to read, to spread reads over equal instances.
        pub spread: u64,
    }
}

crate::key_type! {
    // How likely it is that an instance's answer will meet the need, the best first.
    enum Chance {
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

/// The active instances that may serve a read, the best guess first.
///
/// Replicas that will likely do come before the primary, which has writes to serve, and of those
/// the ones in the host's own failure domain come first.
pub fn read_candidates(
    config: &ServiceConfig,
    view: &GroupView,
    need: &ReadNeed,
    origin: &ReadOrigin,
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = config
        .instances
        .iter()
        .filter(|(_, instance)| instance.state == InstanceState::Active)
        .filter_map(|(name, instance)| {
            let mut chance = chance(view, need, origin.now + origin.patience, name)?;
            if origin.avoided.contains(name) {
                chance = Chance::Unlikely;
            }
            let spread = mix(weight("read", name) ^ origin.spread);
            Some((chance, distance(instance, origin), spread, name))
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(.., name)| name.clone()).collect()
}

fn distance(instance: &InstanceConfig, origin: &ReadOrigin) -> Distance {
    if instance.domain == origin.domain {
        Distance::SameDomain
    } else if instance.region == origin.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

// `None` when the instance's history lacks the floor's write.
fn chance(
    view: &GroupView,
    need: &ReadNeed,
    ready_by: Monotonic,
    instance: &InstanceId,
) -> Option<Chance> {
    if view.primary.as_ref() == Some(instance) {
        return Some(Chance::Primary);
    }
    let Some(sample) = view.samples.get(instance) else {
        return Some(Chance::Unlikely);
    };
    let floor_chance = match &need.floor {
        None => Chance::Known,
        Some(floor) => match floor.check(&sample.status) {
            FloorCheck::Cut => return None,
            FloorCheck::Reached => Chance::Known,
            FloorCheck::Behind => {
                // A write that no mark shows yet was acknowledged before the read came.
                let written_at = view
                    .primary_positions
                    .reached_by_primary(view.term, floor.position)
                    .map_or(need.as_of, |at| at.min(need.as_of));
                catch_up_chance(view, sample, ready_by, written_at)
            }
        },
    };
    Some(floor_chance.max(age_chance(view, need, sample, ready_by)))
}

fn age_chance(view: &GroupView, need: &ReadNeed, sample: &Sample, ready_by: Monotonic) -> Chance {
    // Without a mark that is new enough no answer can be shown to be.
    let Some((position, written_at)) = view
        .primary_positions
        .complete_as_of(view.term, need.oldest_allowed())
    else {
        return Chance::Unlikely;
    };
    if sample.status.applied >= position && sample.status.history.contains(view.term, position) {
        return Chance::Known;
    }
    catch_up_chance(view, sample, ready_by, written_at)
}

// Whether an instance that lags as much as is thought has by `ready_by` what the primary wrote at
// `written_at`.
fn catch_up_chance(
    view: &GroupView,
    sample: &Sample,
    ready_by: Monotonic,
    written_at: Monotonic,
) -> Chance {
    let follows = sample.status.term == view.term;
    if follows && written_at + sample.lag <= ready_by {
        Chance::Likely
    } else {
        Chance::Unlikely
    }
}
