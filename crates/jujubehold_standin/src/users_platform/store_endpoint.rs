//! One host's own way to the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use super::faults::StoreFaults;

/// Where one host reaches the store, how that fails, and what came through.
#[derive(Debug, Clone)]
pub struct StoreEndpoint {
    /// Where the host connects.
    pub address: SocketAddr,
    /// The faults of its way.
    pub faults: Rc<RefCell<StoreFaults>>,
    /// How many ranges of keys it has read.
    pub range_count: Rc<Cell<u32>>,
}
