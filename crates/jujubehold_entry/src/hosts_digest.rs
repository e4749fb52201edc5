//! A digest of the list of hosts, by which two hosts compare their lists.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::lead_state::Member;
use crate::prelude::*;

/// Returns the digest of `members`. It includes each entry's revision, so that it changes when a
/// host leaves and joins again.
pub(crate) fn hosts_digest(members: &BTreeMap<HostId, Member>) -> u64 {
    let mut hasher = Sha256::new();
    for (host, member) in members {
        let revision = member.key_revision;
        hasher.update(format!("{host} {revision}\n"));
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}
