//! Rate limits of workspaces in tokens per second.

use std::{
    collections::HashMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
};

use fuchsiabay_base::{Timestamp, WorkspaceId};
use parking_lot::Mutex;

/// Number of independently locked shards, to reduce lock contention.
const SHARDS: usize = 16;
/// The size of a token bucket, as the time in which it fills, in milliseconds. It absorbs bursts and the uneven
/// distribution of a workspace's requests over the entry instances.
const BUCKET_FILL_MS: u64 = 4_000;

/// Keeps each workspace within this instance's share of its limit.
///
/// The limit is enforced over all entry instances without a remote call per request: each instance takes the limit
/// divided by the number of live entry instances. A request is charged its estimate, which is later replaced by what it
/// used, so that the bucket follows actual usage. The sum over all instances stays within the limit except for the
/// tokens accumulated in the buckets.
#[derive(Debug, Default)]
pub struct WorkspaceLimiter {
    shards: [Mutex<HashMap<WorkspaceId, Bucket>>; SHARDS],
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    // In thousandths of a token, so that small shares over short intervals are not rounded to zero.
    // Negative after a request that used more than its estimate.
    millitokens: i64,
    refilled_at: Timestamp,
}

impl WorkspaceLimiter {
    /// Charges `tokens` to the workspace, whose limit over all `entry_instances` live entry instances is `limit`
    /// tokens per second.
    ///
    /// # Errors
    ///
    /// Returns when the request may be retried. A request that exceeds the size of the bucket is admitted when the
    /// bucket is full; otherwise it could never run.
    pub fn admit(
        &self,
        workspace: &WorkspaceId,
        limit: u64,
        entry_instances: u64,
        tokens: u64,
        now: Timestamp,
    ) -> Result<(), Timestamp> {
        // Tokens per second are millitokens per millisecond.
        let rate = saturating_i64(limit / entry_instances.max(1)).max(1);
        let size = rate.saturating_mul(BUCKET_FILL_MS as i64);
        let mut shard = self.shard(workspace).lock();
        if !shard.contains_key(workspace) {
            shard.insert(workspace.clone(), Bucket { millitokens: size, refilled_at: now });
        }
        let Some(bucket) = shard.get_mut(workspace) else {
            return Ok(());
        };
        let earned = rate.saturating_mul(saturating_i64(now.millis_since(bucket.refilled_at)));
        bucket.millitokens = bucket.millitokens.saturating_add(earned).min(size);
        bucket.refilled_at = bucket.refilled_at.max(now);
        let cost = saturating_i64(tokens.saturating_mul(1000));
        let deficit = cost.min(size) - bucket.millitokens;
        if deficit > 0 {
            return Err(now.plus_millis((deficit / rate + 1) as u64));
        }
        bucket.millitokens -= cost;
        Ok(())
    }

    /// Replaces the charged estimate of an admitted request with the tokens that it used.
    pub fn settle(&self, workspace: &WorkspaceId, estimated: u64, used: u64) {
        let mut shard = self.shard(workspace).lock();
        let Some(bucket) = shard.get_mut(workspace) else {
            return;
        };
        let difference =
            saturating_i64(estimated.saturating_mul(1000)) - saturating_i64(used.saturating_mul(1000));
        bucket.millitokens = bucket.millitokens.saturating_add(difference);
    }

    /// Removes the workspaces that do not satisfy `keep`.
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

fn saturating_i64(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
