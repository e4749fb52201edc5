//! Settings and request classes of admission control.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// The settings of an [`Admission`](super::Admission).
    pub struct AdmissionSettings {
        /// How many requests may run at once.
        pub slots: usize,
        /// How many requests may wait.
        pub queue: usize,
        /// The longest time that a request may wait, whatever its deadline.
        pub max_wait: Duration,
        /// The assumed service time of a class until a request of that class has been measured.
        pub initial_service_time: Duration,
        /// The shortest time that a refused caller is asked to wait.
        pub min_retry_after: Duration,
    }
}

crate::key_type! {
    /// The class of a request, which determines its share of the slots.
    pub enum RequestClass {
        /// A read.
        Lookup,
        /// A write whose caller waits for it.
        Write,
        /// A write that may be delayed, such as one of a long queue of orders.
        Deferrable,
    }

    /// How a request was admitted.
    pub enum Admitted {
        /// The request runs now and holds a slot until it is released.
        Start,
        /// The request waits; a later [`Released`](super::Released) names its ticket when it starts
        /// or expires.
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
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Write, Self::Deferrable];

    /// Returns the weight by which the class shares slot time with the others when all have work.
    pub(super) fn weight(self) -> u64 {
        match self {
            Self::Lookup | Self::Write => 4,
            Self::Deferrable => 1,
        }
    }
}
