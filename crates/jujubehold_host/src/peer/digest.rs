//! Digests of a host's state. Two hosts compare them to detect, with a few bytes, that their states
//! are the same.
//!
//! See docs/notes/configuration-relay.md.

use jujubehold_core::config_version::ConfigVersion;
use jujubehold_core::membership::{Member, MemberState};
use jujubehold_core::ownership::{mix, weight};
use jujubehold_core::prelude::*;

/// The number of buckets that the names are hashed into. Two hosts compare only the buckets whose
/// digests differ.
pub(crate) const BUCKET_COUNT: usize = 64;

/// The digests of a host's state, one for each bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Digests {
    buckets: Vec<u64>,
}

impl Default for Digests {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKET_COUNT],
        }
    }
}

impl Digests {
    /// Adds a service with its known configuration version and term.
    pub(crate) fn add_service(&mut self, service: &ServiceId, version: ConfigVersion, term: Term) {
        let bucket = bucket_of(service);
        let state_hash = mix(version.generation) ^ mix(!version.digest).rotate_left(1) ^ mix(!term);
        self.buckets[bucket] ^= mix(weight("service", service) ^ state_hash);
    }

    /// Adds a host. A suspected host counts as alive, because suspicions are temporary; a dead host
    /// is left out.
    pub(crate) fn add_host(&mut self, member: &Member) {
        let state: u64 = match member.state {
            MemberState::Alive | MemberState::Suspect => 0,
            MemberState::Leaving => 1,
            MemberState::Dead => return,
        };
        let bucket = bucket_of(&member.host);
        let state_hash = mix(member.incarnation) ^ mix(!state);
        self.buckets[bucket] ^= mix(weight("host", &member.host) ^ state_hash);
    }

    /// Returns a digest over all buckets.
    pub(crate) fn combined(&self) -> u64 {
        let fold = |sum: u64, bucket: &u64| mix(sum.rotate_left(1) ^ *bucket);
        self.buckets.iter().fold(0, fold)
    }

    /// Returns the digests of the buckets.
    pub(crate) fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns the indexes of the buckets whose digests differ from another host's.
    pub(crate) fn differing(&self, theirs: &[u64]) -> Vec<u32> {
        (0_u32..)
            .zip(self.buckets.iter().zip(theirs))
            .filter(|(_, (own, other))| own != other)
            .map(|(index, _)| index)
            .collect()
    }
}

/// Returns the index of a name's bucket.
pub(crate) fn bucket_of(name: &str) -> usize {
    let index = weight("bucket", name) % BUCKET_COUNT as u64;
    usize::try_from(index).unwrap_or(0)
}
