//! Tests the stand-in database through an unmodified PostgreSQL client and through the calls of
//! the group interface.

mod replication;
mod sessions;
mod support;
