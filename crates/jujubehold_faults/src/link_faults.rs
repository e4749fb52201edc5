//! The faults of one direction of a route.

use std::time::Duration;

use thiserror::Error;

/// The upper limit of shares, which are given in thousandths.
const PER_MILLE: u32 = 1000;

/// The faults injected into one direction of a route; the default injects none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LinkFaults {
    /// The delay of all bytes and datagrams.
    pub delay: Duration,
    /// The maximum random addition to the delay; the bytes of a connection stay in order.
    pub jitter: Duration,
    /// Whether a connection's bytes are held back, as TCP does while a link is down; datagrams are
    /// dropped.
    pub is_stalled: bool,
    /// Whether bytes and datagrams are dropped. A connection that lost bytes is reset when the cut
    /// ends.
    pub is_cut: bool,
    /// The number of bytes that may still be forwarded; a connection that exceeds it is reset after
    /// the last of them. `None` sets no limit.
    pub reset_after_bytes: Option<u64>,
    /// How many of a thousand datagrams are dropped, on average.
    pub loss_per_mille: u32,
    /// How many of a thousand datagrams are duplicated, on average.
    pub duplicate_per_mille: u32,
    /// How many of a thousand datagrams are delayed by `late` in addition, on average, so that
    /// later ones overtake them.
    pub late_per_mille: u32,
    /// The additional delay of late datagrams.
    pub late: Duration,
}

/// Errors in changing a route or its faults.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FaultError {
    /// No route has this name.
    #[error("no route is named {0}")]
    UnknownRoute(String),
    /// A pair is not of the form `key=value` with a known key and a valid value.
    #[error("{0} is no fault; see docs/notes/fault-proxy.md")]
    UnknownFault(String),
    /// The command is unknown or malformed.
    #[error("unknown command")]
    UnknownCommand,
    /// The route could not be opened.
    #[error("the route could not be opened: {0}")]
    Open(String),
}

impl LinkFaults {
    /// Applies one `key=value` pair from the control port.
    ///
    /// # Errors
    /// Returns an error if the key is unknown or the value is invalid.
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
