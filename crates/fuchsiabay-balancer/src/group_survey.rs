//! Which ranks are queried to find out whether their groups are open, and what their answers imply.

use std::collections::HashMap;

use fuchsiabay_base::{InstanceId, Timestamp};

/// The maximum number of ranks that are queried in one check. All entry instances check the groups, so the queries that an
/// agent receives grow with the instances; with this limit, those that an instance sends do not grow with the ranks.
const MAX_QUERIED_RANKS: usize = 32;

/// The maximum number of ranks that are queried again in one check because they did not respond. The others are needed to
/// learn whether the group is open.
const MAX_UNREACHABLE_QUERIED: usize = 16;

/// The time for which a rank must be unreachable before callers are refused, in milliseconds. After a restart of all
/// instances, the ranks come back one after the other within this time.
const UNREACHABLE_RANK_GRACE_MS: u64 = 800;

/// What a rank states about its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupReport {
    /// The name of the group.
    pub group: String,
    /// The number of ranks of the group.
    pub size: usize,
    /// Whether the group is open.
    pub is_open: bool,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    /// The last report.
    report: Option<GroupReport>,
    /// Since when the rank has not responded.
    unreachable_since: Option<Timestamp>,
}

/// What is known about the groups of one service.
///
/// The ranks of a group open and close together, so the report of some ranks tells the state of the others. All ranks are
/// queried in turn, because only the rank itself shows that it cannot be reached.
#[derive(Clone, Debug, Default)]
pub struct GroupSurvey {
    ranks: HashMap<InstanceId, Rank>,
    /// The positions from which ranks are queried next, among the reachable and the unreachable ones.
    next_reachable: usize,
    next_unreachable: usize,
    /// Since when a group has had fewer known ranks than it needs.
    incomplete_since: Option<Timestamp>,
}

impl GroupSurvey {
    /// Returns the positions in `servers` of the ranks to query next: those whose group is unknown, some that did not respond,
    /// and as many others as the limit allows. Each kind takes turns.
    pub fn next_queries(&mut self, servers: &[InstanceId]) -> Vec<usize> {
        self.ranks.retain(|id, _| servers.contains(id));
        let limit = MAX_QUERIED_RANKS.min(servers.len());
        let is_reachable = |i: &usize| self.fresh_report(&servers[*i]).is_some();
        let (reachable, others): (Vec<usize>, Vec<usize>) = (0..servers.len()).partition(is_reachable);
        let is_unknown = |i: &usize| !self.ranks.contains_key(&servers[*i]);
        let (unknown, unreachable): (Vec<usize>, Vec<usize>) = others.into_iter().partition(is_unknown);
        let retried =
            unreachable.len().min(MAX_UNREACHABLE_QUERIED).max(limit.saturating_sub(reachable.len()));
        let mut queries: Vec<usize> = unknown.into_iter().take(limit).collect();
        let retried = retried.min(limit - queries.len());
        queries.extend(in_turn(&unreachable, self.next_unreachable, retried));
        self.next_unreachable = self.next_unreachable.wrapping_add(retried);
        let others = limit - queries.len();
        queries.extend(in_turn(&reachable, self.next_reachable, others));
        self.next_reachable = self.next_reachable.wrapping_add(others);
        queries
    }

    /// Records the response of a rank. None means that it did not respond. Returns whether the rank became reachable or
    /// unreachable.
    pub fn record(&mut self, server: &InstanceId, report: Option<GroupReport>, now: Timestamp) -> bool {
        let rank = self.ranks.entry(server.clone()).or_default();
        let was_unreachable = rank.unreachable_since.is_some();
        match report {
            Some(report) => *rank = Rank { report: Some(report), unreachable_since: None },
            None => {
                rank.unreachable_since.get_or_insert(now);
            }
        }
        rank.unreachable_since.is_some() != was_unreachable
    }

    /// Returns for each of `servers` whether its group is open, as far as the reports of `queried` tell. A server that cannot
    /// be queried cannot serve requests, either.
    pub fn open_servers(&self, servers: &[InstanceId], queried: &[usize]) -> Vec<(InstanceId, bool)> {
        let mut open_groups: HashMap<&str, bool> = HashMap::new();
        for report in queried.iter().filter_map(|i| self.fresh_report(&servers[*i])) {
            *open_groups.entry(&report.group).or_insert(true) &= report.is_open;
        }
        let state = |server: &InstanceId| {
            let rank = self.ranks.get(server)?;
            if rank.unreachable_since.is_some() {
                return Some((server.clone(), false));
            }
            let is_open = open_groups.get(rank.report.as_ref()?.group.as_str())?;
            Some((server.clone(), *is_open))
        };
        servers.iter().filter_map(state).collect()
    }

    /// Returns whether a rank of a group has been unreachable for longer than the grace period, or missing from the
    /// directory.
    pub fn has_unreachable_rank(&mut self, now: Timestamp) -> bool {
        let mut known: HashMap<&str, (usize, usize)> = HashMap::new();
        for rank in self.ranks.values() {
            if let Some(report) = &rank.report {
                let (count, size) = known.entry(&report.group).or_default();
                (*count, *size) = (*count + usize::from(rank.unreachable_since.is_none()), report.size);
            }
        }
        let is_incomplete = known.values().any(|(count, size)| count < size);
        if !is_incomplete {
            self.incomplete_since = None;
            return false;
        }
        let since = *self.incomplete_since.get_or_insert(now);
        now.millis_since(since) >= UNREACHABLE_RANK_GRACE_MS
    }

    fn fresh_report(&self, server: &InstanceId) -> Option<&GroupReport> {
        let rank = self.ranks.get(server)?;
        rank.report.as_ref().filter(|_| rank.unreachable_since.is_none())
    }
}

/// Returns at most `count` of `ranks`, from the position `start` on.
fn in_turn(ranks: &[usize], start: usize, count: usize) -> impl Iterator<Item = usize> {
    ranks.iter().cycle().skip(start % ranks.len().max(1)).take(count.min(ranks.len())).copied()
}
