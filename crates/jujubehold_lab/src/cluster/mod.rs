//! A cluster is a whole installation in one process: the platform, database groups and hosts.

mod cluster_settings;
mod free_address;
mod installation;
mod link_delays;
mod links;
mod running_host;

pub use cluster_settings::ClusterSettings;
pub use free_address::free_address;
pub use installation::Cluster;
pub use link_delays::LinkDelays;
pub use links::Links;
pub use running_host::RunningHost;
