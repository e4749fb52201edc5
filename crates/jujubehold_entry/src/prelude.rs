//! The types that most modules of this crate use.

pub(crate) use std::rc::Rc;
pub(crate) use std::time::Duration;

pub(crate) use jujubehold_core::log_position::LogPosition;
pub(crate) use jujubehold_core::prelude::*;

pub(crate) use crate::protocol::Platform;
pub(crate) use crate::shared::Shared;
