//! Whether the frames of a forwarded stream came whole and in order.

use crate::value_type;

crate::key_type! {
    /// What to do with a frame.
    pub enum FrameDecision {
        /// Hand it on.
        Deliver,
        /// It was delivered before.
        Drop,
        /// One before it is missing: the answer can't be whole, and the stream ends.
        Broken,
    }
}

value_type! {
    /// The numbers seen on one direction of a forwarded stream.
    #[derive(Default)]
    pub struct FrameOrder {
        last: u64,
    }
}

impl FrameOrder {
    /// Takes in the number of a frame; the first is 1.
    pub fn accept(&mut self, sequence: u64) -> FrameDecision {
        if sequence <= self.last {
            FrameDecision::Drop
        } else if sequence == self.last + 1 {
            self.last = sequence;
            FrameDecision::Deliver
        } else {
            FrameDecision::Broken
        }
    }

    /// The number of the next frame to send.
    pub fn next_sequence(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
