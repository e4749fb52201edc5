//! The platform's list of hosts, which lags.

use jujubehold_core::membership::{Member, MemberState};

/// Where the platform's service holds the list.
pub const HOSTS_PREFIX: &str = "/platform/hosts/";

/// Reads one host's entry, `key=value` pairs; `None` when one is missing or malformed.
pub fn parse_host(host: &str, text: &str) -> Option<Member> {
    let value_of = |wanted: &str| {
        text.lines()
            .flat_map(|line| line.split(';'))
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| key.trim() == wanted)
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
