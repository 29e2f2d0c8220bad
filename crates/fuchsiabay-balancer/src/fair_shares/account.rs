//! What one workspace has used of a service.

use fuchsiabay_base::Timestamp;

/// The half-life of a usage, in milliseconds. It is of the order of the duration of a stream.
const HALF_LIFE_MS: f64 = 2_000.0;

/// How long an account is kept after its last grant, in milliseconds. The usage has decayed to 0.4% by then.
const ACCOUNT_LIFETIME_MS: u64 = 16_000;

/// The usage of one workspace, in tokens, or in requests for plain services.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// The usage through this instance at `decayed_at`.
    own: f64,
    decayed_at: Timestamp,
    kept_until: Timestamp,
    /// The usage through the other instances.
    pub(super) reported: f64,
    /// Whether the usage is above the share.
    pub(super) is_above: bool,
    /// When the usage was last above the share.
    pub(super) last_above_at: Timestamp,
    /// When it was last reported that the workspace began to be above its share.
    pub(super) announced_at: Option<Timestamp>,
    /// Whether it is to be reported when the workspace is no longer above its share.
    pub(super) is_announced: bool,
}

impl Account {
    pub(super) fn own(&self, now: Timestamp) -> f64 {
        self.own * (-(now.millis_since(self.decayed_at) as f64) / HALF_LIFE_MS).exp2()
    }

    pub(super) fn usage(&self, now: Timestamp) -> f64 {
        self.own(now) + self.reported
    }

    pub(super) fn record_grant(&mut self, cost: f64, now: Timestamp) {
        self.own = self.own(now) + cost;
        self.decayed_at = now;
        self.kept_until = now.plus_millis(ACCOUNT_LIFETIME_MS);
    }

    pub(super) fn refund(&mut self, cost: f64, now: Timestamp) {
        self.own = (self.own(now) - cost).max(0.0);
        self.decayed_at = now;
    }

    /// Returns whether the account still says something about the workspace.
    pub(super) fn is_live(&self, now: Timestamp) -> bool {
        self.kept_until > now || self.reported > 0.0 || self.is_announced
    }
}
