//! The state of one route, shared by its connections and the proxy handle.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use crate::direction::Direction;
use crate::link_faults::LinkFaults;

/// The faults of a route.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct RouteFaults {
    pub(crate) up: LinkFaults,
    pub(crate) down: LinkFaults,
    /// Whether connections are accepted without forwarding anything.
    pub(crate) is_half_open: bool,
    /// Whether connections are reset as soon as they are accepted.
    pub(crate) is_refusing: bool,
    /// The number of resets requested so far; a change resets the open connections.
    pub(crate) resets: u64,
}

impl RouteFaults {
    pub(crate) fn link(&self, direction: Direction) -> &LinkFaults {
        match direction {
            Direction::Up => &self.up,
            Direction::Down => &self.down,
        }
    }

    pub(crate) fn link_mut(&mut self, direction: Direction) -> &mut LinkFaults {
        match direction {
            Direction::Up => &mut self.up,
            Direction::Down => &mut self.down,
        }
    }
}

/// A route with its faults.
#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) address: SocketAddr,
    pub(crate) target: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) faults: watch::Sender<RouteFaults>,
}

impl Route {
    /// Creates the random number generator for one direction of a connection.
    pub(crate) fn random(&self, connection: u64, direction: Direction) -> StdRng {
        let stream = match direction {
            Direction::Up => 0,
            Direction::Down => 1,
        };
        StdRng::seed_from_u64(self.seed.wrapping_add(connection * 2 + stream))
    }

    pub(crate) fn link(&self, direction: Direction) -> LinkFaults {
        self.faults.borrow().link(direction).clone()
    }

    /// Waits until the faults meet `condition`.
    pub(crate) async fn wait_until(&self, condition: impl FnMut(&RouteFaults) -> bool) {
        // Waiting can't fail because the sender lives in `self`.
        let _ = self.faults.subscribe().wait_for(condition).await;
    }

    /// Deducts up to `count` bytes from the limit of `reset_after_bytes` and returns how many of
    /// them may be forwarded.
    pub(crate) fn take_byte_allowance(&self, direction: Direction, count: usize) -> usize {
        let mut allowed = count;
        self.faults.send_if_modified(|faults| {
            let Some(remaining) = &mut faults.link_mut(direction).reset_after_bytes else {
                return false;
            };
            allowed = usize::try_from(*remaining).unwrap_or(count).min(count);
            *remaining -= allowed as u64;
            false
        });
        allowed
    }
}

/// Draws the delay of a link, including its jitter.
pub(crate) fn draw_delay(link: &LinkFaults, random: &mut StdRng) -> Duration {
    link.delay + link.jitter.mul_f64(random.random::<f64>())
}

/// Draws whether an event with the given probability, in thousandths, happens.
pub(crate) fn draw_event(probability_per_mille: u32, random: &mut StdRng) -> bool {
    random.random_range(0..1000) < probability_per_mille
}
