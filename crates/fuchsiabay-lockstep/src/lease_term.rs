//! Terms of the coordinator lease.

/// The distance between the version remainders of equal generations in consecutive epochs. The generations of one membership
/// before and after a restore of the store differ by far less.
const EPOCH_STRIDE: u64 = 512;

/// The term of a coordinator lease. No two processes hold the lease in the same term.
///
/// After the store has returned from a copy, it gives out generations again. The epoch tells them apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseTerm {
    /// The number that the store raises each time it returns from a copy. Zero if unknown.
    pub store_epoch: u64,
    /// The generation of the membership, which rises with each change.
    pub generation: u64,
}

impl LeaseTerm {
    /// Returns the remainder by `modulus` that marks the versions of this term.
    pub(crate) const fn remainder(self, modulus: u64) -> u64 {
        self.store_epoch.wrapping_mul(EPOCH_STRIDE).wrapping_add(self.generation) % modulus
    }
}
