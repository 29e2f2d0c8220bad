//! Accounts of the workspaces of one service, and their shares.

use std::collections::{HashMap, HashSet};

use fuchsiabay_base::{Timestamp, WorkspaceId};

use super::{FairSharesStatus, ShareEvent, ShareLevel, WorkspaceStatus, account::Account};

/// The multiple of its share at which a workspace begins to be above it. It leaves room for the chance of arrivals, so that equal
/// workspaces are served in the order of their goals.
const BEGIN_ABOVE: f64 = 1.25;

/// The multiple of its share at which a workspace ceases to be above it. The distance to `BEGIN_ABOVE` prevents a workspace from
/// changing its level with each request.
const END_ABOVE: f64 = 1.15;

/// The multiple of its share below which a workspace gets slots that others would use. It is well below the usage of workspaces that
/// compete for the same share.
const FAR_BELOW: f64 = 0.5;

/// The maximum number of workspaces whose usage is reported.
const MAX_REPORTED: usize = 16;

/// The minimum usage that is reported, as a fraction of the heaviest one. Lighter workspaces are far below their share.
const MIN_REPORTED_FRACTION: f64 = 0.125;

/// The same, as a fraction of the usage of all workspaces. With thousands of workspaces, hardly any has so much.
const MIN_REPORTED_PART: f64 = 1.0 / 32.0;

/// The minimum time between two reports that the same workspace began to be above its share, in milliseconds.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 10_000;

/// How long a workspace must not have been above its share before that is reported, in milliseconds. Usage near a bound crosses it often.
const ANNOUNCEMENT_DELAY_MS: u64 = 5_000;

/// The usage of each workspace of one service over all instances, and the share that each of them may use.
///
/// Shares are max-min fair: a workspace that uses less than an equal part leaves the rest to those that have work waiting.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    is_enabled: bool,
    accounts: HashMap<WorkspaceId, Account>,
    /// The share of each workspace that has work waiting. `None` if workspaces do not compete.
    share: Option<f64>,
    has_above: bool,
    events: Vec<ShareEvent>,
}

impl FairShares {
    /// Sets whether usage is accounted and compared.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        if !is_enabled {
            *self = Self::default();
        }
        self.is_enabled = is_enabled;
    }

    /// Returns whether usage is accounted and compared.
    pub const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records that a request of `workspace` got a slot.
    pub fn record_grant(&mut self, workspace: &WorkspaceId, tokens: u64, now: Timestamp) {
        if !self.is_enabled {
            return;
        }
        if !self.accounts.contains_key(workspace) {
            self.accounts.insert(workspace.clone(), Account::default());
        }
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.record_grant(cost(tokens), now);
        }
    }

    /// Takes back the usage of a slot whose request did not run.
    pub fn refund(&mut self, workspace: &WorkspaceId, tokens: u64, now: Timestamp) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.refund(cost(tokens), now);
        }
    }

    /// Sets the usage through the other instances, zero for workspaces not in `usage`.
    pub fn set_reported(&mut self, usage: impl IntoIterator<Item = (WorkspaceId, f64)>) {
        if !self.is_enabled {
            return;
        }
        self.accounts.values_mut().for_each(|account| account.reported = 0.0);
        for (workspace, usage) in usage {
            self.accounts.entry(workspace).or_default().reported = usage;
        }
    }

    /// Computes the share while requests of the workspaces `waiting` wait here. `others_wait` states whether workspaces below their share
    /// wait at other instances; they count as one workspace without usage.
    pub fn compare(&mut self, waiting: &HashSet<&WorkspaceId>, others_wait: bool, now: Timestamp) {
        let usage = || self.accounts.iter().map(|(id, account)| (id, account.usage(now)));
        let mut left: f64 = usage().map(|(_, usage)| usage).sum();
        let mut content: Vec<f64> =
            usage().filter(|(id, _)| !waiting.contains(id)).map(|(_, usage)| usage).collect();
        let mut competitors = waiting.len() + content.len() + usize::from(others_wait);
        if waiting.is_empty() || competitors < 2 {
            self.end_competition();
            return;
        }
        // A workspace that uses less than an equal part and has no work waiting leaves the rest to the others.
        content.sort_unstable_by(f64::total_cmp);
        for usage in content {
            if usage * competitors as f64 > left {
                break;
            }
            left -= usage;
            competitors -= 1;
        }
        let share = left.max(0.0) / competitors.max(1) as f64;
        self.share = Some(share);
        self.has_above = false;
        for account in self.accounts.values_mut() {
            let bound = if account.is_above { END_ABOVE } else { BEGIN_ABOVE };
            account.is_above = account.usage(now) > share * bound;
            self.has_above |= account.is_above;
        }
        self.announce_above(share, waiting.len(), now);
    }

    /// Records that workspaces do not compete.
    pub fn end_competition(&mut self) {
        if self.share.take().is_some() {
            self.has_above = false;
            self.accounts.values_mut().for_each(|account| account.is_above = false);
        }
    }

    /// Drops the accounts of workspaces without recent usage.
    pub fn expire(&mut self, now: Timestamp) {
        self.announce_ends(now);
        self.accounts.retain(|_, account| account.is_live(now));
    }

    /// Returns the share of each workspace that has work waiting. None if workspaces do not compete.
    pub const fn share(&self) -> Option<f64> {
        self.share
    }

    /// Returns whether `workspace` is above its share.
    pub fn is_above(&self, workspace: &WorkspaceId) -> bool {
        self.accounts.get(workspace).is_some_and(|account| account.is_above)
    }

    /// Returns whether any workspace is above its share.
    pub const fn has_above(&self) -> bool {
        self.has_above
    }

    /// Returns how the usage of `workspace` compares with its share after it has got `more`.
    pub fn level(&self, workspace: &WorkspaceId, more: f64, now: Timestamp) -> ShareLevel {
        let Some(share) = self.share else {
            return ShareLevel::Near;
        };
        let account = self.accounts.get(workspace);
        let usage = account.map_or(0.0, |account| account.usage(now)) + more;
        if account.is_some_and(|account| account.is_above) || usage > share * BEGIN_ABOVE {
            return ShareLevel::Above;
        }
        if usage < share * FAR_BELOW { ShareLevel::FarBelow } else { ShareLevel::Near }
    }

    /// Returns the usage of the heaviest workspaces through this instance, to be sent to the neighbours.
    pub fn heaviest(&self, now: Timestamp) -> Vec<(WorkspaceId, f64)> {
        let mut usage: Vec<_> = self.accounts.iter().map(|(id, account)| (id, account.own(now))).collect();
        usage.sort_unstable_by(|(a, x), (b, y)| y.total_cmp(x).then_with(|| a.cmp(b)));
        let total: f64 = usage.iter().map(|(_, usage)| usage).sum();
        let heaviest = usage.first().map_or(0.0, |(_, usage)| *usage);
        let min = (heaviest * MIN_REPORTED_FRACTION).max(total * MIN_REPORTED_PART);
        let reported = usage.into_iter().take(MAX_REPORTED).filter(|(_, usage)| *usage >= min);
        reported.map(|(id, usage)| (id.clone(), usage)).collect()
    }

    /// Returns the status for state dumps. None if usage is not accounted.
    pub fn status(&self, now: Timestamp) -> Option<FairSharesStatus> {
        let mut heaviest: Vec<_> = self.accounts.iter().collect();
        heaviest.sort_unstable_by(|(_, a), (_, b)| b.usage(now).total_cmp(&a.usage(now)));
        let status = |(id, account): (&WorkspaceId, &Account)| WorkspaceStatus {
            workspace: id.clone(),
            own: account.own(now).round(),
            reported: account.reported.round(),
            is_above: account.is_above,
        };
        self.is_enabled.then(|| FairSharesStatus {
            share: self.share.map(f64::round),
            workspaces: self.accounts.len(),
            heaviest: heaviest.into_iter().take(MAX_REPORTED).map(status).collect(),
        })
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<ShareEvent> {
        std::mem::take(&mut self.events)
    }

    fn announce_above(&mut self, share: f64, waiting_workspaces: usize, now: Timestamp) {
        for (id, account) in self.accounts.iter_mut().filter(|(_, account)| account.is_above) {
            account.last_above_at = now;
            let is_due = |at: Timestamp| now.millis_since(at) >= ANNOUNCEMENT_INTERVAL_MS;
            if account.is_announced || !account.announced_at.is_none_or(is_due) {
                continue;
            }
            (account.is_announced, account.announced_at) = (true, Some(now));
            let (workspace, usage) = (id.clone(), account.usage(now));
            self.events.push(ShareEvent::Above { workspace, usage, share, waiting_workspaces });
        }
    }

    fn announce_ends(&mut self, now: Timestamp) {
        let is_over = |account: &Account| {
            let quiet_ms = now.millis_since(account.last_above_at);
            account.is_announced && !account.is_above && quiet_ms >= ANNOUNCEMENT_DELAY_MS
        };
        for (id, account) in self.accounts.iter_mut().filter(|(_, account)| is_over(account)) {
            account.is_announced = false;
            self.events.push(ShareEvent::NoLongerAbove { workspace: id.clone() });
        }
    }
}

/// Returns what a grant costs. Requests to plain services have no tokens and cost one unit.
pub(crate) fn cost(tokens: u64) -> f64 {
    tokens.max(1) as f64
}
