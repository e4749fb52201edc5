//! A host's entry in the list of hosts: where it takes datagrams, and its failure domain.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubehold_core::lead_table::Revision;

use crate::lead_state::Member;

/// Writes the entry of a host of `domain` that takes datagrams at `peer`.
pub(crate) fn format_member(peer: SocketAddr, domain: &str) -> Bytes {
    Bytes::from(format!("{peer} {domain}"))
}

/// Reads an entry that stands at `key_revision`; `None` when it can't be read.
pub(crate) fn parse_member(value: &[u8], key_revision: Revision) -> Option<Member> {
    let text = std::str::from_utf8(value).ok()?;
    // A host that runs an earlier version says no failure domain, and is asked for no proof.
    let (peer, domain) = text.split_once(' ').unwrap_or((text, ""));
    Some(Member {
        peer_address: peer.parse().ok()?,
        domain: domain.into(),
        key_revision,
    })
}
