//! Checks that the frames of a forwarded stream arrive completely and in order.

use crate::value_type;

crate::key_type! {
    /// What to do with a received frame.
    pub enum FrameDecision {
        /// Deliver the frame.
        Deliver,
        /// Drop the frame, which was delivered before.
        Drop,
        /// End the stream: an earlier frame is missing, so the answer can't be complete.
        Broken,
    }
}

value_type! {
    /// The sequence numbers of one direction of a forwarded stream.
    #[derive(Default)]
    pub struct FrameOrder {
        last_sequence: u64,
    }
}

impl FrameOrder {
    /// Decides what to do with the frame numbered `sequence`; the first frame has number 1.
    pub fn accept(&mut self, sequence: u64) -> FrameDecision {
        if sequence <= self.last_sequence {
            FrameDecision::Drop
        } else if sequence == self.last_sequence + 1 {
            self.last_sequence = sequence;
            FrameDecision::Deliver
        } else {
            FrameDecision::Broken
        }
    }

    /// Returns the number of the next frame to send.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
