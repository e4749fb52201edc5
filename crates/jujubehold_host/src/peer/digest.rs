//! Digests of what a host knows, so that two hosts that know the same say so in a few bytes.
//!
//! See docs/notes/configuration-relay.md.

use jujubehold_core::config_version::ConfigVersion;
use jujubehold_core::membership::{Member, MemberState};
use jujubehold_core::ownership::{mix, weight};
use jujubehold_core::prelude::*;

/// Into how many buckets the names are spread; two hosts go over only the buckets that differ.
pub(crate) const BUCKETS: usize = 64;

/// One digest for each bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Digests {
    buckets: Vec<u64>,
}

impl Default for Digests {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKETS],
        }
    }
}

impl Digests {
    /// Adds a service with the version and the term that are known of it.
    pub(crate) fn add_service(&mut self, service: &ServiceId, version: ConfigVersion, term: Term) {
        let bucket = bucket_of(service);
        let word = mix(version.generation) ^ mix(!version.digest).rotate_left(1) ^ mix(!term);
        self.buckets[bucket] ^= mix(weight("service", service) ^ word);
    }

    /// Adds a host; a suspicion alone makes no difference, since it passes.
    pub(crate) fn add_host(&mut self, member: &Member) {
        let state: u64 = match member.state {
            MemberState::Alive | MemberState::Suspect => 0,
            MemberState::Leaving => 1,
            MemberState::Dead => return,
        };
        let bucket = bucket_of(&member.host);
        let word = mix(member.incarnation) ^ mix(!state);
        self.buckets[bucket] ^= mix(weight("host", &member.host) ^ word);
    }

    /// The digest of all.
    pub(crate) fn whole(&self) -> u64 {
        let fold = |sum: u64, bucket: &u64| mix(sum.rotate_left(1) ^ *bucket);
        self.buckets.iter().fold(0, fold)
    }

    /// The digests of the buckets.
    pub(crate) fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// The buckets that differ from another host's.
    pub(crate) fn differing(&self, theirs: &[u64]) -> Vec<u32> {
        (0_u32..)
            .zip(self.buckets.iter().zip(theirs))
            .filter(|(_, (own, other))| own != other)
            .map(|(index, _)| index)
            .collect()
    }
}

/// The bucket of a name.
pub(crate) fn bucket_of(name: &str) -> usize {
    let index = weight("bucket", name) % BUCKETS as u64;
    usize::try_from(index).unwrap_or(0)
}
