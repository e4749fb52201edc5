//! Which way bytes go, and by which protocol.

/// One of a route's two directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From who connected to the route's target.
    Up,
    /// From the route's target back.
    Down,
}

/// A route's protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Protocol {
    /// Connections.
    Tcp,
    /// Datagrams.
    Udp,
}
