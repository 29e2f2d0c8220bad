//! A fake group of ranks that fulfils the engines' contract: an order is executed once, possibly late and without a
//! reply, and its sender is not checked.

use std::sync::Arc;

use fuchsiabay_lockstep::{ArmedMap, ExpertLayout, Order, OrderReply, RankState};

use crate::lockstep_script::RANKS;

/// The duration of one step, in milliseconds.
pub(crate) const STEP_MS: u64 = 50;
/// The time that a rank takes to copy its experts, in milliseconds.
const COPY_MS: u64 = 90;

/// The time for which a rank reports the same state, in milliseconds.
const REPORT_AGE_MS: std::ops::Range<u64> = 50..300;

/// An expert map: its version and its layout. The initial map has no layout.
type ExpertMap = (u64, Option<Arc<ExpertLayout>>);

#[derive(Clone, Debug, Default)]
struct Rank {
    map: ExpertMap,
    /// The highest version of all accepted prepare orders.
    highest_version: u64,
    prepared: Option<ExpertMap>,
    /// The map whose experts are being copied, and until when.
    copying: Option<(ExpertMap, u64)>,
    armed: Option<ArmedMap>,
    held: Option<u64>,
}

/// An order that is executed later, without a reply.
#[derive(Clone, Debug)]
struct DelayedOrder {
    at_ms: u64,
    rank: usize,
    epoch: u64,
    order: Order,
}

/// The group and the orders in transit to it.
#[derive(Debug)]
pub struct LockstepGroup {
    ranks: Vec<Rank>,
    /// The epoch, which increases each time the group is formed again.
    pub epoch: u64,
    /// The last step that has begun.
    pub step: u64,
    next_step_ms: u64,
    /// Until when the group has no work and begins no step, in milliseconds.
    idle_until_ms: u64,
    delayed_orders: Vec<DelayedOrder>,
    /// The states that the ranks report, and when each rank reports its state anew, in milliseconds.
    reports: Vec<(RankState, u64)>,
    rng: fastrand::Rng,
}

impl LockstepGroup {
    /// The number of ranks.
    pub const RANKS: usize = RANKS;

    /// Forms a group with the initial map. `seed` determines when the ranks report their states.
    pub fn new(seed: u64) -> Self {
        let ranks = vec![Rank::default(); RANKS];
        let reports = ranks.iter().enumerate().map(|(i, rank)| (rank.state(i, 1, 0), 0)).collect();
        Self {
            ranks,
            epoch: 1,
            step: 0,
            next_step_ms: STEP_MS,
            idle_until_ms: 0,
            delayed_orders: Vec::new(),
            reports,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Forms the group again under a new epoch, with no map prepared or armed and no step held.
    pub fn regroup(&mut self, now_ms: u64) {
        self.epoch += 1;
        self.ranks = vec![Rank::default(); RANKS];
        self.next_step_ms = now_ms + STEP_MS;
    }

    /// Leaves the group without work until `until_ms`.
    pub fn idle_until(&mut self, until_ms: u64) {
        self.idle_until_ms = self.idle_until_ms.max(until_ms);
    }

    /// Schedules an order to be executed at `at_ms`, without a reply.
    pub fn execute_later(&mut self, at_ms: u64, rank: usize, epoch: u64, order: &Order) {
        self.delayed_orders.push(DelayedOrder { at_ms, rank, epoch, order: order.clone() });
    }

    /// Executes an order. An order for another epoch is rejected as a conflict.
    pub fn execute(&mut self, rank: usize, epoch: u64, order: &Order, now_ms: u64) -> OrderReply {
        if epoch != self.epoch {
            return OrderReply::Conflict;
        }
        self.ranks[rank].execute(order, self.step, now_ms)
    }

    /// Advances the group to `now_ms`. Returns an error with the ranks' map versions if a step began while their maps
    /// differed.
    pub fn advance(&mut self, now_ms: u64) -> Result<(), String> {
        let (due, later) =
            std::mem::take(&mut self.delayed_orders).into_iter().partition(|order| order.at_ms <= now_ms);
        self.delayed_orders = later;
        for DelayedOrder { rank, epoch, order, .. } in due {
            self.execute(rank, epoch, &order, now_ms);
        }
        self.ranks.iter_mut().for_each(|rank| rank.finish_copy(now_ms));
        self.update_reports(now_ms);
        let is_held = self.ranks.iter().any(|rank| rank.held == Some(self.step + 1));
        if now_ms < self.next_step_ms.max(self.idle_until_ms) || is_held {
            return Ok(());
        }
        self.step += 1;
        self.next_step_ms = now_ms + STEP_MS;
        for rank in &mut self.ranks {
            rank.begin_step(self.step);
        }
        let first = &self.ranks[0].map;
        if self.ranks.iter().all(|rank| rank.map == *first) {
            return Ok(());
        }
        let maps: Vec<u64> = self.ranks.iter().map(|rank| rank.map.0).collect();
        Err(format!("a step began under the maps {maps:?}"))
    }

    fn update_reports(&mut self, now_ms: u64) {
        for (i, (report, next_ms)) in self.reports.iter_mut().enumerate() {
            if *next_ms <= now_ms {
                *report = self.ranks[i].state(i, self.epoch, self.step);
                *next_ms = now_ms + self.rng.u64(REPORT_AGE_MS);
            }
        }
    }

    /// Returns the state that a rank reports, which may be outdated.
    pub fn reported_state(&self, i: usize) -> RankState {
        self.reports[i].0.clone()
    }
}

impl Rank {
    fn state(&self, i: usize, epoch: u64, step: u64) -> RankState {
        RankState {
            epoch,
            rank: i as u16,
            group_size: RANKS as u16,
            is_open: true,
            slowdown: 1.0,
            step,
            map_version: self.map.0,
            prepared: self.prepared.as_ref().map(|(version, _)| *version),
            armed: self.armed,
            held: self.held,
        }
    }

    fn finish_copy(&mut self, now_ms: u64) {
        if let Some((map, _)) = self.copying.take_if(|(_, until_ms)| *until_ms <= now_ms) {
            self.prepared = Some(map);
        }
    }

    fn begin_step(&mut self, step: u64) {
        let Some(armed) = self.armed.take_if(|armed| armed.step == Some(step)) else {
            return;
        };
        if let Some(map) = self.prepared.take_if(|(version, _)| *version == armed.version) {
            self.map = map;
        }
    }

    fn is_prepared(&self, version: u64) -> bool {
        self.prepared.as_ref().is_some_and(|(prepared, _)| *prepared == version)
    }

    fn execute(&mut self, order: &Order, step: u64, now_ms: u64) -> OrderReply {
        let accepted = match order {
            Order::Prepare { version, layout } => self.prepare(*version, layout, now_ms),
            Order::Hold { step: at } => self.hold(*at, step),
            Order::Arm { version, step: at } => self.arm(*version, *at, step),
            Order::Disarm { version } => self.disarm(*version),
            Order::Release { step: at } => {
                self.held.take_if(|held| held == at);
                true
            }
        };
        if accepted { OrderReply::Accepted } else { OrderReply::Conflict }
    }

    fn prepare(&mut self, version: u64, layout: &Arc<ExpertLayout>, now_ms: u64) -> bool {
        let is_copying = self.copying.as_ref().is_some_and(|((copied, _), _)| *copied == version);
        if self.is_prepared(version) || is_copying {
            return true;
        }
        if version <= self.highest_version || self.armed.is_some() {
            return false;
        }
        self.highest_version = version;
        self.prepared = None;
        self.copying = Some(((version, Some(layout.clone())), now_ms + COPY_MS));
        true
    }

    fn hold(&mut self, at: u64, step: u64) -> bool {
        if self.held == Some(at) {
            return true;
        }
        if at <= step || self.held.is_some() {
            return false;
        }
        self.held = Some(at);
        true
    }

    /// Only a version that is in use cannot be disarmed.
    fn disarm(&mut self, version: u64) -> bool {
        self.armed.take_if(|armed| armed.version == version);
        self.map.0 != version
    }

    fn arm(&mut self, version: u64, at: u64, step: u64) -> bool {
        let armed = ArmedMap { version, step: Some(at) };
        if self.armed == Some(armed) {
            return true;
        }
        if at <= step || !self.is_prepared(version) || self.armed.is_some() {
            return false;
        }
        self.armed = Some(armed);
        true
    }
}
