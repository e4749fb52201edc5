//! The platform's list of hosts, which may be out of date.

use jujubehold_core::membership::{Member, MemberState};

/// The prefix of the keys that hold the list.
pub const HOSTS_PREFIX: &str = "/platform/hosts/";

/// Parses one host's entry of `key=value` pairs; returns `None` if a required pair is missing or
/// malformed.
pub fn parse_host(host: &str, text: &str) -> Option<Member> {
    let value_of = |name: &str| {
        text.lines()
            .flat_map(|line| line.split(';'))
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| key.trim() == name)
            .map(|(_, value)| value.trim())
    };
    let state = match value_of("state") {
        Some("live") | None => MemberState::Alive,
        Some("leaving") => MemberState::Leaving,
        Some(_) => return None,
    };
    Some(Member {
        host: host.into(),
        domain: value_of("domain")?.into(),
        region: value_of("region").unwrap_or_default().into(),
        peer_address: value_of("peer_address")?.parse().ok()?,
        incarnation: 0,
        state,
    })
}
