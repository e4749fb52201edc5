//! The text format of a host's entry in the list of hosts: the address for datagrams, the failure
//! domain and the process.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubehold_core::store_version::Revision;

use crate::lead_state::Member;
use crate::prelude::*;

/// Formats the entry of a host of `domain` that receives datagrams at `peer`. `process` is a number
/// that distinguishes the process from every other one of the host.
pub(crate) fn format_member(peer: SocketAddr, domain: &str, process: Nonce) -> Bytes {
    Bytes::from(format!("{peer} {domain} {process:x}"))
}

/// Parses an entry as of `key_revision`; `None` if it is invalid.
pub(crate) fn parse_member(value: &[u8], key_revision: Revision) -> Option<Member> {
    let text = std::str::from_utf8(value).ok()?;
    let mut words = text.split(' ');
    let peer = words.next()?;
    // A host that runs an earlier version states no process, or no failure domain either, and is
    // then not asked for a proof.
    let domain = words.next().unwrap_or_default();
    let process = words.next().unwrap_or_default();
    Some(Member {
        peer_address: peer.parse().ok()?,
        domain: domain.into(),
        process: Nonce::from_str_radix(process, 16).unwrap_or_default(),
        key_revision,
    })
}
