//! The partitions among which the customers are divided.

use crate::key_type;
use crate::ownership::weight;

/// How many partitions there are. Each failure domain has a keeper for each of them; more keepers
/// share the requests for tokens, and cost every host more lease requests.
pub(super) const PARTITION_COUNT: usize = 2;

key_type! {
    /// A partition of the customers, all of whose quotas have the same keepers.
    pub struct QuotaPartition(u8);

    /// A set of partitions.
    #[derive(Default)]
    pub struct PartitionSet(u32);
}

impl QuotaPartition {
    /// Returns the partition of `customer`.
    pub fn of(customer: &str) -> Self {
        let index = weight("quota partition", customer) % PARTITION_COUNT as u64;
        Self(u8::try_from(index).unwrap_or_default())
    }

    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(|index| Self(u8::try_from(index).unwrap_or_default()))
    }

    /// Returns the position in an array with one element per partition.
    pub fn index(self) -> usize {
        self.0.into()
    }

    /// Returns the key by which hosts are ranked for the partition.
    pub(super) fn rank_key(self) -> &'static str {
        const KEYS: [&str; PARTITION_COUNT] = ["quota keeper 0", "quota keeper 1"];
        KEYS[self.index()]
    }
}

impl PartitionSet {
    /// Creates the set from the bits of a datagram; unknown partitions are left out.
    pub fn from_bits(bits: u32) -> Self {
        Self(bits & ((1 << PARTITION_COUNT) - 1))
    }

    /// Returns the set as bits.
    pub fn bits(self) -> u32 {
        self.0
    }

    /// Adds a partition.
    pub fn insert(&mut self, partition: QuotaPartition) {
        self.0 |= 1 << partition.index();
    }

    /// Returns whether it contains `partition`.
    pub fn contains(self, partition: QuotaPartition) -> bool {
        self.0 & (1 << partition.index()) != 0
    }

    /// Returns whether it is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns its partitions.
    pub fn iter(self) -> impl Iterator<Item = QuotaPartition> {
        QuotaPartition::all().filter(move |partition| self.contains(*partition))
    }
}
