//! The endpoint through which one host reaches the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use super::faults::StoreFaults;
use super::thin_link::ThinLink;

/// One host's address of the store, with its own faults and call count.
#[derive(Debug, Clone)]
pub struct StoreEndpoint {
    /// The address that the host connects to.
    pub address: SocketAddr,
    /// The faults that this host sees; other hosts are not affected.
    pub faults: Rc<RefCell<StoreFaults>>,
    /// The link over which the store's answers reach the host.
    pub link: Rc<ThinLink>,
    /// The number of range reads through this endpoint.
    pub range_count: Rc<Cell<u32>>,
    /// The number of changes that were sent through this endpoint.
    pub commit_count: Rc<Cell<u32>>,
}
