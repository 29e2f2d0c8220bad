//! The memory that buffered bodies may use together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// The bytes of all bodies of one kind that are buffered at the moment, and their limit.
///
/// Each body is limited as well, but peers that send without end could use up the memory together. A small body is always
/// accepted, so that large ones do not prevent calls to sound peers.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget(Arc<Usage>);

#[derive(Debug)]
struct Usage {
    used: AtomicUsize,
    limits: BodyLimits,
}

/// Responses of backend servers to callers' requests. They are buffered so that an incomplete one can be replaced by a retry.
pub(crate) const RESPONSE_LIMITS: BodyLimits =
    BodyLimits { one: 8 * MIB, free: 16 * KIB, together: 16 * MIB };

/// Events of streams, of which the end has not been received yet.
pub(crate) const EVENT_LIMITS: BodyLimits = BodyLimits { one: MIB, free: 16 * KIB, together: 8 * MIB };

/// Bodies of callers' requests. The configuration limits a single one.
pub(crate) const REQUEST_LIMITS: BodyLimits =
    BodyLimits { one: usize::MAX, free: 16 * KIB, together: 24 * MIB };

/// Responses of engines and agents to calls of this process. The token counts of a large engine take some 100 KB.
pub(crate) const CALL_LIMITS: BodyLimits = BodyLimits { one: MIB, free: 64 * KIB, together: 4 * MIB };

/// Responses of the store to one client. A page takes up to 1 MB, and a third more in base64.
pub(crate) const STORE_LIMITS: BodyLimits = BodyLimits { one: 4 * MIB, free: 0, together: 4 * MIB };

/// Orders to an agent. A map of 64 ranks and 256 experts per layer takes about 100 KB.
pub(crate) const ORDER_LIMITS: BodyLimits = BodyLimits { one: 4 * MIB, free: 64 * KIB, together: 8 * MIB };

/// The limits of bodies, in bytes. A buffer may take twice as much as the body in it, and a body is copied to be sent. All limits
/// of a process together stay below its memory: 260 MB for an entry instance, 128 MB for an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The largest body.
    pub(crate) one: usize,
    /// The size up to which a body does not count.
    pub(crate) free: usize,
    /// The limit of what counts of all bodies together.
    pub(crate) together: usize,
}

/// The bytes that one body holds. Dropping the lease frees them.
#[derive(Debug)]
pub(crate) struct BodyLease {
    budget: BodyBudget,
    /// The largest body.
    max_len: usize,
    bytes: usize,
}

/// Why a body must not grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum BodyLimitError {
    /// The body exceeds its own limit.
    #[error("the body exceeds the limit")]
    TooLarge,
    /// All bodies together exceed their limit.
    #[error("the bodies of all connections together exceed the limit")]
    Exhausted,
}

impl BodyBudget {
    pub(crate) fn new(limits: BodyLimits) -> Self {
        Self(Arc::new(Usage { used: AtomicUsize::new(0), limits }))
    }

    /// Returns a lease without bytes.
    pub(crate) fn lease(&self) -> BodyLease {
        self.lease_up_to(self.0.limits.one)
    }

    /// Returns a lease for a body of at most `max_len` bytes.
    pub(crate) fn lease_up_to(&self, max_len: usize) -> BodyLease {
        BodyLease { budget: self.clone(), max_len, bytes: 0 }
    }
}

impl BodyLease {
    /// Changes the size of the body, if the limits allow it.
    pub(crate) fn resize(&mut self, len: usize) -> Result<(), BodyLimitError> {
        let Usage { used, limits } = &*self.budget.0;
        let bytes = len.saturating_sub(limits.free);
        if bytes < self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        } else if bytes > self.bytes {
            used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        if len > self.max_len {
            return Err(BodyLimitError::TooLarge);
        }
        let is_within = bytes == 0 || used.load(Ordering::Relaxed) <= limits.together;
        if is_within { Ok(()) } else { Err(BodyLimitError::Exhausted) }
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
