//! The crate is filled by the commits that follow.
