//! Decides which records one agent appends to the log stream of its group.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, WriterId};

use crate::{ExpertMap, Lookahead, MapLedger, MapRecord, Rank, SwitchId};

/// The delay before a proposal is repeated, in milliseconds. A proposal is expected to come back from the log within
/// this time, and repeating it earlier would only fill the log with records that have no effect.
const PROPOSAL_RETRY_MS: u64 = 2_000;

/// How long a switch may stay undecided, in milliseconds. A switch that takes longer than its lead of about 10 s
/// stalls the group.
const SWITCH_TIMEOUT_MS: u64 = 15_000;

/// The interval between snapshots, in milliseconds. The retention of the log may be as short as an hour.
const SNAPSHOT_INTERVAL_MS: u64 = 600_000;

/// How much longer each agent waits than the agent of the next lower ranks, in milliseconds. When any agent may
/// append a record, normally only one of them does.
const STAGGER_MS: u64 = 2_000;

/// Proposes records for one incarnation of an agent.
///
/// Safety does not depend on the proposer, because the order of the log decides between proposals. Only the agent of
/// the lowest rank proposes switches, which avoids needless conflicts; no switch could be committed without its vote
/// anyway.
#[derive(Clone, Debug)]
pub struct Proposer {
    writer: WriterId,
    ranks: Vec<Rank>,
    group_ranks: usize,
    lookahead: Lookahead,
    /// Whether some generation assigned this incarnation its ranks.
    held_ranks: bool,
    retry_at: Timestamp,
    /// The generation seen last. A new one settles what this agent proposed before, so that it may propose again.
    generation: u64,
    abort_at: Option<(SwitchId, Timestamp)>,
    snapshot_at: Timestamp,
}

impl Proposer {
    /// Returns the proposer of `writer`, whose backend server hosts `ranks` of a group of `group_ranks` ranks.
    pub fn new(
        writer: WriterId,
        ranks: Vec<Rank>,
        group_ranks: usize,
        lookahead: Lookahead,
        now: Timestamp,
    ) -> Self {
        Self {
            writer,
            ranks,
            group_ranks,
            lookahead,
            held_ranks: false,
            retry_at: now,
            generation: 0,
            abort_at: None,
            snapshot_at: now.plus_millis(SNAPSHOT_INTERVAL_MS),
        }
    }

    /// Records that a snapshot was read. The next one is due an interval later.
    pub fn record_snapshot(&mut self, now: Timestamp) {
        self.snapshot_at = now.plus_millis(SNAPSHOT_INTERVAL_MS);
    }

    /// Updates the proposer from the ledger. It must be called after each read, because the deadline of a switch
    /// counts from when the switch was first seen.
    pub fn observe(&mut self, now: Timestamp, ledger: &MapLedger) {
        self.held_ranks |= ledger.is_complete() && self.holds_ranks(ledger);
        if ledger.generation() != self.generation {
            (self.generation, self.retry_at) = (ledger.generation(), now);
        }
        self.abort_at = ledger.pending().map(|pending| match self.abort_at {
            Some((switch, deadline)) if switch == pending.switch => (switch, deadline),
            _ => (pending.switch, now.plus_millis(SWITCH_TIMEOUT_MS + self.stagger_ms(ledger))),
        });
    }

    /// Returns whether this agent may propose a switch now. If not, there is no need to compute a plan.
    pub fn may_prepare(&self, now: Timestamp, ledger: &MapLedger) -> bool {
        now >= self.retry_at
            && ledger.is_complete()
            && ledger.pending().is_none()
            && ledger.ranks().len() == self.group_ranks
            && ledger.ranks().first_key_value().is_some_and(|(_, first)| *first == self.writer)
    }

    /// Returns the `Prepare` record of a switch to `content`, or `None` if this agent may not propose one now. `step`
    /// is the last step that the group ran.
    pub fn prepare(
        &mut self,
        now: Timestamp,
        ledger: &MapLedger,
        step: u64,
        content: Arc<ExpertMap>,
    ) -> Option<MapRecord> {
        if !self.may_prepare(now, ledger) {
            return None;
        }
        self.retry_at = now.plus_millis(PROPOSAL_RETRY_MS);
        Some(MapRecord::Prepare {
            generation: ledger.generation(),
            map: ledger.next_map(),
            hold_step: step + self.lookahead.hold_lead(),
            content,
        })
    }

    /// Returns the `Generation`, `Abort` or `Snapshot` record that is due, if any.
    pub fn propose(&mut self, now: Timestamp, ledger: &MapLedger) -> Option<MapRecord> {
        if now < self.retry_at || !ledger.is_complete() {
            return None;
        }
        let record = self
            .due_generation(ledger)
            .or_else(|| self.due_abort(now))
            .or_else(|| self.due_snapshot(now, ledger))?;
        self.retry_at = now.plus_millis(PROPOSAL_RETRY_MS);
        Some(record)
    }

    /// Returns whether the current generation assigns all of this agent's ranks to this incarnation.
    pub fn holds_ranks(&self, ledger: &MapLedger) -> bool {
        self.ranks.iter().all(|rank| ledger.ranks().get(rank) == Some(&self.writer))
    }

    /// Returns whether another incarnation or instance has taken over the ranks. This one must then not claim them
    /// again, or the two would displace each other forever.
    pub fn is_displaced(&self, ledger: &MapLedger) -> bool {
        let is_later_incarnation = |member: &WriterId| {
            member.instance == self.writer.instance && member.generation > self.writer.generation
        };
        (self.held_ranks && !self.holds_ranks(ledger))
            || self.ranks.iter().any(|rank| ledger.ranks().get(rank).is_some_and(is_later_incarnation))
    }

    fn due_generation(&self, ledger: &MapLedger) -> Option<MapRecord> {
        if self.holds_ranks(ledger) || self.is_displaced(ledger) {
            return None;
        }
        let mut ranks = ledger.ranks().clone();
        ranks.extend(self.ranks.iter().map(|&rank| (rank, self.writer.clone())));
        Some(MapRecord::Generation { generation: ledger.generation() + 1, ranks })
    }

    fn due_abort(&self, now: Timestamp) -> Option<MapRecord> {
        let (switch, deadline) = self.abort_at?;
        (now >= deadline).then_some(MapRecord::Abort { switch })
    }

    fn due_snapshot(&self, now: Timestamp, ledger: &MapLedger) -> Option<MapRecord> {
        if !self.holds_ranks(ledger) || now < self.snapshot_at.plus_millis(self.stagger_ms(ledger)) {
            return None;
        }
        ledger.snapshot()
    }

    fn stagger_ms(&self, ledger: &MapLedger) -> u64 {
        let mut earlier: Vec<&WriterId> =
            ledger.ranks().values().take_while(|member| **member != self.writer).collect();
        earlier.dedup();
        earlier.len() as u64 * STAGGER_MS
    }
}
