//! What hosts of one failure domain send each other.

use crate::ids::HostId;
use crate::membership::member::Member;
use crate::value_type;

value_type! {
    /// A datagram: a question or an answer, and news of a few hosts.
    ///
    /// With eight updates of short names it stays under 1,200 bytes, so that it is not cut into
    /// fragments.
    pub struct Datagram {
        /// Who sends it.
        pub from: HostId,
        /// What it asks or answers.
        pub kind: DatagramKind,
        /// News, the sender's own state among them.
        pub updates: Vec<Member>,
    }

    /// What a datagram asks or answers.
    pub enum DatagramKind {
        /// Answer with an ack of the same number.
        Ping {
            /// The sender's number for it.
            sequence: u64,
        },
        /// The answer to a ping.
        Ack {
            /// The ping's number.
            sequence: u64,
        },
        /// Ping another host and pass its ack on.
        PingRequest {
            /// The sender's number for it.
            sequence: u64,
            /// The host to ping.
            target: HostId,
        },
        /// Nothing but the news.
        News,
    }
}

impl Datagram {
    /// Reads the text form; `None` when it is malformed, so that a damaged datagram is dropped.
    pub fn parse(text: &str) -> Option<Self> {
        let mut lines = text.lines();
        let mut words = lines.next()?.split(' ');
        let from = words.next()?.into();
        let kind = match words.next()? {
            "ping" => DatagramKind::Ping {
                sequence: words.next()?.parse().ok()?,
            },
            "ack" => DatagramKind::Ack {
                sequence: words.next()?.parse().ok()?,
            },
            "ping_request" => DatagramKind::PingRequest {
                sequence: words.next()?.parse().ok()?,
                target: words.next()?.into(),
            },
            "news" => DatagramKind::News,
            _ => return None,
        };
        if words.next().is_some() {
            return None;
        }
        let updates = lines.map(Member::parse).collect::<Option<_>>()?;
        Some(Self {
            from,
            kind,
            updates,
        })
    }
}

impl std::fmt::Display for Datagram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ", self.from)?;
        match &self.kind {
            DatagramKind::Ping { sequence } => write!(f, "ping {sequence}")?,
            DatagramKind::Ack { sequence } => write!(f, "ack {sequence}")?,
            DatagramKind::PingRequest { sequence, target } => {
                write!(f, "ping_request {sequence} {target}")?;
            }
            DatagramKind::News => write!(f, "news")?,
        }
        for update in &self.updates {
            write!(f, "\n{update}")?;
        }
        Ok(())
    }
}
