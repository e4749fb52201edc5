//! Conversions between the core's types and the messages between hosts.

use jujubehold_core::membership::{Member, MemberState};
use jujubehold_wire::peer;

/// Converts a member to a message.
pub(crate) fn host_message(member: &Member) -> peer::Host {
    peer::Host {
        id: member.host.to_string(),
        domain: member.domain.to_string(),
        region: member.region.to_string(),
        peer_address: member.peer_address.to_string(),
        caller_address: String::new(),
        incarnation: member.incarnation,
        state: match member.state {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Leaving => 2,
            MemberState::Dead => 3,
        },
    }
}

/// Converts a message to a member; returns `None` if the message is malformed.
pub(crate) fn member_of(host: &peer::Host) -> Option<Member> {
    Some(Member {
        host: host.id.as_str().into(),
        domain: host.domain.as_str().into(),
        region: host.region.as_str().into(),
        peer_address: host.peer_address.parse().ok()?,
        incarnation: host.incarnation,
        state: match host.state {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Leaving,
            3 => MemberState::Dead,
            _ => return None,
        },
    })
}
