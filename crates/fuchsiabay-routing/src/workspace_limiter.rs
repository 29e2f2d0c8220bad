//! Limits of workspaces in tokens per second.

use std::{
    collections::HashMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
};

use fuchsiabay_base::{Timestamp, WorkspaceId};
use parking_lot::Mutex;

/// Shards, so that threads rarely wait for each other.
const SHARDS: usize = 16;
/// Unused share is carried over for this many milliseconds. It evens out bursts and the uneven spread of a
/// workspace's requests over the entry instances.
const CARRY_OVER_MS: u64 = 4_000;

/// Keeps each workspace within this instance's share of its limit.
///
/// The limit holds over all entry instances without a call per request: each takes the limit divided by the number
/// of live entry instances. A request is charged its estimate and settled to what it used, so the share follows
/// the own demand. The sum over all instances stays within the limit except for the carried-over share.
#[derive(Debug, Default)]
pub struct WorkspaceLimiter {
    shards: [Mutex<HashMap<WorkspaceId, Bucket>>; SHARDS],
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    // In thousandths of a token, so that small shares over short times are not rounded away.
    // Negative after a request that used more than its estimate.
    millitokens: i64,
    filled_at: Timestamp,
}

impl WorkspaceLimiter {
    /// Charges `tokens` to the workspace, whose limit over `entries` live entry instances is `limit` tokens per
    /// second.
    ///
    /// # Errors
    ///
    /// Returns when the request may be sent again. A request above the whole bucket is admitted when the bucket is
    /// full, or it could never run.
    pub fn admit(
        &self,
        workspace: &WorkspaceId,
        limit: u64,
        entries: u64,
        tokens: u64,
        now: Timestamp,
    ) -> Result<(), Timestamp> {
        // Tokens per second are millitokens per millisecond.
        let rate = clamp(limit / entries.max(1)).max(1);
        let size = rate.saturating_mul(CARRY_OVER_MS as i64);
        let mut shard = self.shard(workspace).lock();
        if !shard.contains_key(workspace) {
            shard.insert(workspace.clone(), Bucket { millitokens: size, filled_at: now });
        }
        let Some(bucket) = shard.get_mut(workspace) else {
            return Ok(());
        };
        let earned = rate.saturating_mul(clamp(now.millis_since(bucket.filled_at)));
        bucket.millitokens = bucket.millitokens.saturating_add(earned).min(size);
        bucket.filled_at = bucket.filled_at.max(now);
        let cost = clamp(tokens.saturating_mul(1000));
        let missing = cost.min(size) - bucket.millitokens;
        if missing > 0 {
            return Err(now.plus_millis((missing / rate + 1) as u64));
        }
        bucket.millitokens -= cost;
        Ok(())
    }

    /// Replaces the estimate of an admitted request by what it used.
    pub fn settle(&self, workspace: &WorkspaceId, estimated: u64, used: u64) {
        let mut shard = self.shard(workspace).lock();
        let Some(bucket) = shard.get_mut(workspace) else {
            return;
        };
        let difference = clamp(estimated.saturating_mul(1000)) - clamp(used.saturating_mul(1000));
        bucket.millitokens = bucket.millitokens.saturating_add(difference);
    }

    /// Forgets the workspaces that do not satisfy `keep`.
    pub fn retain(&self, keep: impl Fn(&WorkspaceId) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|workspace, _| keep(workspace));
        }
    }

    fn shard(&self, workspace: &WorkspaceId) -> &Mutex<HashMap<WorkspaceId, Bucket>> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(workspace);
        &self.shards[hash as usize % SHARDS]
    }
}

fn clamp(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
