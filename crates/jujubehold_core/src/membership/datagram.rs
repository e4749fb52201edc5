//! The datagrams that hosts of one failure domain send each other.

use crate::ids::HostId;
use crate::membership::member::Member;
use crate::value_type;

value_type! {
    /// A datagram: a request or a response, with updates on a few hosts.
    ///
    /// With eight updates of short names it stays under 1,200 bytes, so that it is not fragmented.
    pub struct Datagram {
        /// The sender.
        pub from: HostId,
        /// The request or response.
        pub kind: DatagramKind,
        /// Updates on hosts, the sender's own state among them.
        pub updates: Vec<Member>,
    }

    /// The request or response of a datagram.
    pub enum DatagramKind {
        /// Requests an ack with the same sequence number.
        Ping {
            /// The sender's sequence number for the ping.
            sequence: u64,
        },
        /// The response to a ping.
        Ack {
            /// The ping's sequence number.
            sequence: u64,
        },
        /// Requests a ping of another host, whose ack is to be forwarded to the sender.
        PingRequest {
            /// The sender's sequence number for the request.
            sequence: u64,
            /// The host to ping.
            target: HostId,
        },
        /// Carries only updates.
        Updates,
    }
}

impl Datagram {
    /// Parses the text form; `None` when it is malformed, so that a damaged datagram is dropped.
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
            "news" => DatagramKind::Updates,
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
            DatagramKind::Updates => write!(f, "news")?,
        }
        for update in &self.updates {
            write!(f, "\n{update}")?;
        }
        Ok(())
    }
}
