//! The directions and protocols of a route.

/// One of a route's two directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the connecting side to the route's target.
    Up,
    /// From the route's target to the connecting side.
    Down,
}

/// The protocol of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Protocol {
    /// The route carries TCP connections.
    Tcp,
    /// The route carries UDP datagrams.
    Udp,
}
