//! One host as the others see it.

use std::net::SocketAddr;

use crate::ids::{DomainId, HostId, RegionId};
use crate::value_type;

value_type! {
    /// A host, where it is, and the latest that is known of it.
    pub struct Member {
        /// The host.
        pub host: HostId,
        /// Its failure domain.
        pub domain: DomainId,
        /// The region of that failure domain.
        pub region: RegionId,
        /// Where it listens for other hosts, by datagram and by stream.
        pub peer_address: SocketAddr,
        /// Raised by the host itself, so that its own word outweighs others' older ones.
        pub incarnation: u64,
        /// Its state in that incarnation.
        pub state: MemberState,
    }
}

crate::key_type! {
    /// The state of a host; in one incarnation a later one outweighs an earlier one.
    pub enum MemberState {
        /// It answers.
        Alive,
        /// It did not answer, and may still refute.
        Suspect,
        /// It said that it leaves; it takes nothing new.
        Leaving,
        /// It is gone.
        Dead,
    }
}

impl Member {
    /// Whether this word of a host outweighs `other`.
    pub fn outweighs(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the host counts when owners and watchers are picked.
    pub fn is_live(&self) -> bool {
        match self.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Leaving | MemberState::Dead => false,
        }
    }

    /// Reads the text form; `None` when it is malformed.
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
    /// The stable name used between hosts and in logs.
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
