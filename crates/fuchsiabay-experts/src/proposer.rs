//! Decides which records one agent appends to move its group on.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, WriterId};

use crate::{ExpertMap, Lookahead, MapLedger, MapRecord, Rank, SwitchId};

/// The time in which a proposal is expected back from the log, in milliseconds. Earlier repetitions would only fill the
/// log with records that are void.
const RETRY_MS: u64 = 2_000;

/// The time that a switch may stay undecided, in milliseconds. A switch that takes longer than its lead of about 10 s
/// stalls the group.
const ABORT_AFTER_MS: u64 = 15_000;

/// The interval of snapshots, in milliseconds. The log may keep records for no longer than an hour.
const SNAPSHOT_MS: u64 = 600_000;

/// The time by which each further agent waits longer than the one before it, in milliseconds, so that one record
/// suffices when any agent may append it.
const STAGGER_MS: u64 = 2_000;

/// Proposes records for one life of an agent.
///
/// Safety does not depend on it: the order of the log decides between proposals. The agent of the lowest rank proposes
/// switches, which only avoids useless conflicts; without its vote no switch could be committed anyway.
#[derive(Clone, Debug)]
pub struct Proposer {
    writer: WriterId,
    ranks: Vec<Rank>,
    group_ranks: usize,
    lookahead: Lookahead,
    /// Whether a generation named this life.
    was_named: bool,
    retry_at: Timestamp,
    /// The generation that was seen last. A new one decided what this agent proposed before.
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
            was_named: false,
            retry_at: now,
            generation: 0,
            abort_at: None,
            snapshot_at: now.plus_millis(SNAPSHOT_MS),
        }
    }

    /// Notes that a snapshot was read, so that the next one is due an interval later.
    pub fn note_snapshot(&mut self, now: Timestamp) {
        self.snapshot_at = now.plus_millis(SNAPSHOT_MS);
    }

    /// Notes what the ledger says now. It must be called after each read, because the deadline of a switch counts from
    /// when it was first seen.
    pub fn observe(&mut self, now: Timestamp, ledger: &MapLedger) {
        self.was_named |= ledger.is_complete() && self.holds_ranks(ledger);
        if ledger.generation() != self.generation {
            (self.generation, self.retry_at) = (ledger.generation(), now);
        }
        self.abort_at = ledger.pending().map(|pending| match self.abort_at {
            Some((switch, deadline)) if switch == pending.switch => (switch, deadline),
            _ => (pending.switch, now.plus_millis(ABORT_AFTER_MS + self.stagger_ms(ledger))),
        });
    }

    /// Returns whether this agent may propose a switch now, so that a plan is worth its computation.
    pub fn may_prepare(&self, now: Timestamp, ledger: &MapLedger) -> bool {
        now >= self.retry_at
            && ledger.is_complete()
            && ledger.pending().is_none()
            && ledger.ranks().len() == self.group_ranks
            && ledger.ranks().first_key_value().is_some_and(|(_, first)| *first == self.writer)
    }

    /// Returns the `Prepare` of a switch to `content`, given the last step that the group ran.
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
        self.retry_at = now.plus_millis(RETRY_MS);
        Some(MapRecord::Prepare {
            generation: ledger.generation(),
            map: ledger.next_map(),
            hold_step: step + self.lookahead.hold_lead(),
            content,
        })
    }

    /// Returns the `Generation`, `Abort` or `Snapshot` that is due.
    pub fn propose(&mut self, now: Timestamp, ledger: &MapLedger) -> Option<MapRecord> {
        if now < self.retry_at || !ledger.is_complete() {
            return None;
        }
        let record =
            self.generation(ledger).or_else(|| self.abort(now)).or_else(|| self.snapshot(now, ledger))?;
        self.retry_at = now.plus_millis(RETRY_MS);
        Some(record)
    }

    /// Returns whether the generation in force names this life for all its ranks.
    pub fn holds_ranks(&self, ledger: &MapLedger) -> bool {
        self.ranks.iter().all(|rank| ledger.ranks().get(rank) == Some(&self.writer))
    }

    /// Returns whether another life took the ranks over. This life then stays away, or the two would displace each
    /// other for ever.
    pub fn is_displaced(&self, ledger: &MapLedger) -> bool {
        let later = |member: &WriterId| {
            member.instance == self.writer.instance && member.generation > self.writer.generation
        };
        (self.was_named && !self.holds_ranks(ledger))
            || self.ranks.iter().any(|rank| ledger.ranks().get(rank).is_some_and(later))
    }

    fn generation(&self, ledger: &MapLedger) -> Option<MapRecord> {
        if self.holds_ranks(ledger) || self.is_displaced(ledger) {
            return None;
        }
        let mut ranks = ledger.ranks().clone();
        ranks.extend(self.ranks.iter().map(|&rank| (rank, self.writer.clone())));
        Some(MapRecord::Generation { generation: ledger.generation() + 1, ranks })
    }

    fn abort(&self, now: Timestamp) -> Option<MapRecord> {
        let (switch, deadline) = self.abort_at?;
        (now >= deadline).then_some(MapRecord::Abort { switch })
    }

    fn snapshot(&self, now: Timestamp, ledger: &MapLedger) -> Option<MapRecord> {
        if !self.holds_ranks(ledger) || now < self.snapshot_at.plus_millis(self.stagger_ms(ledger)) {
            return None;
        }
        ledger.snapshot()
    }

    fn stagger_ms(&self, ledger: &MapLedger) -> u64 {
        let mut before: Vec<&WriterId> =
            ledger.ranks().values().take_while(|member| **member != self.writer).collect();
        before.dedup();
        before.len() as u64 * STAGGER_MS
    }
}
