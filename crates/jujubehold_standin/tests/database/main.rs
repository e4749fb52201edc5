//! The stand-in database by its two interfaces: an unchanged client and the group's calls.

mod replication;
mod sessions;
mod support;
