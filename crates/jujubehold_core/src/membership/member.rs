//! The state of one host as other hosts know it.

use std::net::SocketAddr;

use crate::ids::{DomainId, HostId, RegionId};
use crate::value_type;

value_type! {
    /// A host, its location, and its latest known state.
    pub struct Member {
        /// The host's name.
        pub host: HostId,
        /// The failure domain that the host is in.
        pub domain: DomainId,
        /// The region of that failure domain.
        pub region: RegionId,
        /// The address for other hosts' datagrams and streams.
        pub peer_address: SocketAddr,
        /// The host's incarnation, which only the host itself increments, so that its own state
        /// supersedes older claims of others.
        pub incarnation: u64,
        /// The host's state in that incarnation.
        pub state: MemberState,
    }
}

crate::key_type! {
    /// The state of a host; within one incarnation a later variant supersedes an earlier one.
    pub enum MemberState {
        /// The host answers probes.
        Alive,
        /// The host did not answer a probe and may still refute the suspicion.
        Suspect,
        /// The host announced that it leaves; it accepts nothing new.
        Leaving,
        /// The host is considered dead.
        Dead,
    }
}

impl Member {
    /// Returns whether this state of a host supersedes `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns whether the host counts when owners and watchers are picked.
    pub fn is_live(&self) -> bool {
        match self.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Leaving | MemberState::Dead => false,
        }
    }

    /// Parses the text form; `None` when it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let member = Self {
            host: words.next()?.into(),
            domain: words.next()?.into(),
            region: words.next()?.into(),
            peer_address: words.next()?.parse().ok()?,
            incarnation: words.next()?.parse().ok()?,
            state: MemberState::parse(words.next()?)?,
        };
        words.next().is_none().then_some(member)
    }
}

impl std::fmt::Display for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} {} {} {} {} {}",
            self.host,
            self.domain,
            self.region,
            self.peer_address,
            self.incarnation,
            self.state.as_str()
        )
    }
}

impl MemberState {
    /// Returns the stable name used between hosts and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Leaving, Self::Dead]
            .into_iter()
            .find(|state| state.as_str() == name)
    }
}
