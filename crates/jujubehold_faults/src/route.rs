//! The state of one route, which its connections and its handle share.

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
    /// Connections are taken, and nothing of them is passed on.
    pub(crate) is_half_open: bool,
    /// Connections are closed as soon as they come.
    pub(crate) is_refusing: bool,
    /// Counts the resets that were asked for.
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
    /// A source of random choices for the connection of this number in this direction.
    pub(crate) fn random(&self, connection: u64, direction: Direction) -> StdRng {
        let way = match direction {
            Direction::Up => 0,
            Direction::Down => 1,
        };
        StdRng::seed_from_u64(self.seed.wrapping_add(connection * 2 + way))
    }

    pub(crate) fn link(&self, direction: Direction) -> LinkFaults {
        self.faults.borrow().link(direction).clone()
    }

    /// Waits until the faults are as asked for.
    pub(crate) async fn until(&self, is_so: impl FnMut(&RouteFaults) -> bool) {
        // The sender lives in `self`, so that waiting can't fail.
        let _ = self.faults.subscribe().wait_for(is_so).await;
    }

    /// Takes `count` bytes from what may still pass; returns how many of them do.
    pub(crate) fn passing(&self, direction: Direction, count: usize) -> usize {
        let mut passing = count;
        self.faults.send_if_modified(|faults| {
            let Some(left) = &mut faults.link_mut(direction).reset_after_bytes else {
                return false;
            };
            passing = usize::try_from(*left).unwrap_or(count).min(count);
            *left -= passing as u64;
            false
        });
        passing
    }
}

/// A delay of this link, with its jitter.
pub(crate) fn draw_delay(link: &LinkFaults, random: &mut StdRng) -> Duration {
    link.delay + link.jitter.mul_f64(random.random::<f64>())
}

/// Whether a thing of this share, of a thousand, happens now.
pub(crate) fn draw_share(share_per_mille: u32, random: &mut StdRng) -> bool {
    random.random_range(0..1000) < share_per_mille
}
