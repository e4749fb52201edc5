//! The bounds of a service's queue.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// The settings of an [`Admission`](super::Admission).
    pub struct AdmissionSettings {
        /// How many requests run at once.
        pub slots: usize,
        /// How many requests may wait.
        pub queue: usize,
        /// How long a request waits at the most, whatever its deadline.
        pub max_wait: Duration,
        /// What a request is taken to last until one was measured.
        pub initial_service_time: Duration,
        /// The least time that a refused caller is asked to wait.
        pub min_retry_after: Duration,
    }
}

crate::key_type! {
    /// How requests share the slots.
    pub enum RequestClass {
        /// A read.
        Lookup,
        /// A write that someone waits for.
        Write,
        /// A write that may wait, such as a long queue of orders.
        Deferrable,
    }

    /// Whether a request may run now.
    pub enum Admitted {
        /// It runs now and holds a slot until it is released.
        Start,
        /// It waits; a release or an expiry will name its ticket.
        Wait,
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            slots: 3,
            queue: 64,
            max_wait: Duration::from_secs(2),
            initial_service_time: Duration::from_millis(5),
            min_retry_after: Duration::from_millis(10),
        }
    }
}

impl RequestClass {
    /// Every class.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Write, Self::Deferrable];

    /// What of the slots' time the class gets against the others, when all have work.
    pub(super) fn share(self) -> u64 {
        match self {
            Self::Lookup | Self::Write => 4,
            Self::Deferrable => 1,
        }
    }
}
