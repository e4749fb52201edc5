//! The faults of one direction of a route.

use std::time::Duration;

use thiserror::Error;

/// A thousand, which the shares of datagrams are counted against.
const PER_MILLE: u32 = 1000;

/// What happens to bytes on their way; the default is nothing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LinkFaults {
    /// How much later everything arrives.
    pub delay: Duration,
    /// Up to how much is added to the delay, at random; the order of a connection's bytes stays.
    pub jitter: Duration,
    /// Bytes are held back until this ends, as TCP does over a link that is down.
    pub is_stalled: bool,
    /// Bytes are lost. A connection that lost some is reset once this ends.
    pub is_cut: bool,
    /// How many more bytes pass; a connection with more is reset behind the last one that does.
    pub reset_after_bytes: Option<u64>,
    /// The share of datagrams that are lost, of a thousand.
    pub loss_per_mille: u32,
    /// The share of datagrams that arrive twice, of a thousand.
    pub duplicate_per_mille: u32,
    /// The share of datagrams that arrive after `late`, of a thousand, so that others overtake them.
    pub late_per_mille: u32,
    /// How much later a late datagram arrives.
    pub late: Duration,
}

/// Why a fault could not be set.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FaultError {
    /// No route has this name.
    #[error("no route is named {0}")]
    UnknownRoute(String),
    /// A pair is not `key=value` with a known key and a fitting value.
    #[error("{0} is no fault; see docs/notes/fault-proxy.md")]
    UnknownFault(String),
    /// A command is not known.
    #[error("unknown command")]
    UnknownCommand,
    /// The route could not be opened.
    #[error("the route could not be opened: {0}")]
    Open(String),
}

impl LinkFaults {
    /// Applies one `key=value` pair of the control port.
    ///
    /// # Errors
    /// The key is unknown, or the value does not fit it.
    pub fn apply(&mut self, pair: &str) -> Result<(), FaultError> {
        self.try_apply(pair)
            .ok_or_else(|| FaultError::UnknownFault(pair.to_owned()))
    }

    fn try_apply(&mut self, pair: &str) -> Option<()> {
        let (key, value) = pair.split_once('=')?;
        let duration = || value.parse().ok().map(Duration::from_millis);
        let share = || value.parse().ok().filter(|share| *share <= PER_MILLE);
        let flag = || match value {
            "on" => Some(true),
            "off" => Some(false),
            _ => None,
        };
        match key {
            "delay_ms" => self.delay = duration()?,
            "jitter_ms" => self.jitter = duration()?,
            "stall" => self.is_stalled = flag()?,
            "cut" => self.is_cut = flag()?,
            "reset_after_bytes" => self.reset_after_bytes = Some(value.parse().ok()?),
            "loss_per_mille" => self.loss_per_mille = share()?,
            "duplicate_per_mille" => self.duplicate_per_mille = share()?,
            "late_per_mille" => self.late_per_mille = share()?,
            "late_ms" => self.late = duration()?,
            _ => return None,
        }
        Some(())
    }
}
