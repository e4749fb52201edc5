//! The text format of a host's entry in the list of hosts: the address for datagrams and the
//! failure domain.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubehold_core::lead_table::Revision;

use crate::lead_state::Member;

/// Formats the entry of a host of `domain` that receives datagrams at `peer`.
pub(crate) fn format_member(peer: SocketAddr, domain: &str) -> Bytes {
    Bytes::from(format!("{peer} {domain}"))
}

/// Parses an entry as of `key_revision`; `None` if it is invalid.
pub(crate) fn parse_member(value: &[u8], key_revision: Revision) -> Option<Member> {
    let text = std::str::from_utf8(value).ok()?;
    // A host that runs an earlier version states no failure domain and is not asked for a proof.
    let (peer, domain) = text.split_once(' ').unwrap_or((text, ""));
    Some(Member {
        peer_address: peer.parse().ok()?,
        domain: domain.into(),
        key_revision,
    })
}
