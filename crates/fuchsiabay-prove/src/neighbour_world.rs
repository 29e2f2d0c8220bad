//! A simulated world of entry instances that exchange the configuration and the directory, and of the store that two of
//! them read.

use std::{collections::BTreeSet, net::SocketAddr};

use fuchsiabay_balancer::SharedState;
use fuchsiabay_base::Timestamp;

use crate::{
    Outcome, Step,
    neighbour_instance::{NeighbourInstance, StoreRequest},
    neighbour_script::{INSTANCES, NeighbourAction, SCRIPT_MS, SERVERS},
    neighbour_store::NeighbourStore,
};

/// The time step of the simulation, in milliseconds.
const TICK_MS: u64 = 10;
/// When a case ends, in milliseconds.
const END_MS: u64 = SCRIPT_MS + 12_000;
/// How long the store holds a long poll for the configuration, in milliseconds.
const LONG_POLL_MS: u64 = 1_000;
/// How long an instance waits for a response of the store, in milliseconds. For a long poll it adds `LONG_POLL_MS`.
const STORE_TIMEOUT_MS: u64 = 600;
/// The delay after a failed request, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;
/// The interval at which a reader polls the directory, in milliseconds.
const DIRECTORY_POLL_INTERVAL_MS: u64 = 700;
/// How long after its last read an instance resumes from its offset, in milliseconds. Later it reads the full listing.
const RESUME_WINDOW_MS: u64 = 5_000;
/// The interval between rounds of calls to neighbours, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 250;
/// The timeout of a call to a neighbour, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;
/// How long after a fault the bounds apply again, in milliseconds.
const RECOVERY_MS: u64 = 3_000;
/// The time within which every instance must apply a change, in milliseconds.
const BOUND_MS: u64 = 2_000;
/// The same bound for changes made while the store does not respond to some instance or shortly after, and for the
/// instances that it does not respond to, in milliseconds.
const UNSTABLE_BOUND_MS: u64 = 5_000;
/// How long after an outage a server whose entry expired during it may still be used, in milliseconds.
const EXPIRY_GRACE_MS: u64 = 2_000;

pub(crate) struct NeighbourWorld {
    store: NeighbourStore,
    instances: Vec<NeighbourInstance>,
    members: Vec<SocketAddr>,
    rng: fastrand::Rng,
    store_down_until_ms: u64,
    /// Since when the store has been up. It may still not respond to single instances.
    store_up_since_ms: u64,
    /// Until when calls between instances are lost, and their percentage.
    call_loss: (u64, u32),
    calls_work_since_ms: u64,
    outcome: Outcome,
}

impl NeighbourWorld {
    pub(crate) fn run(steps: &[Step<NeighbourAction>], seed: u64) -> Outcome {
        let members: Vec<SocketAddr> = (0..INSTANCES).map(|i| ([10, 1, i as u8, 1], 7_000).into()).collect();
        let start = |(i, addr): (usize, &SocketAddr)| NeighbourInstance::start(*addr, &members, i as u64, 0);
        let mut world = Self {
            store: NeighbourStore::new(),
            instances: members.iter().enumerate().map(start).collect(),
            members: members.clone(),
            rng: fastrand::Rng::with_seed(seed),
            store_down_until_ms: 0,
            store_up_since_ms: 0,
            call_loss: (0, 0),
            calls_work_since_ms: 0,
            outcome: Outcome::default(),
        };
        let mut steps = steps.iter().peekable();
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            while let Some(step) = steps.next_if(|step| step.at_ms <= now_ms) {
                world.apply_action(&step.action, now_ms);
            }
            world.tick(now_ms);
        }
        let versions: BTreeSet<u64> =
            world.instances.iter().map(|instance| instance.serving.version()).collect();
        world.outcome.add_fact("versions", format!("{versions:?}"));
        world.outcome
    }

    fn apply_action(&mut self, action: &NeighbourAction, now_ms: u64) {
        match *action {
            NeighbourAction::Publish => self.store.publish(now_ms),
            NeighbourAction::Drain { server } => self.store.drain(server % SERVERS, now_ms),
            NeighbourAction::Remove { server } => self.store.remove(server % SERVERS, now_ms),
            NeighbourAction::Return { server, anew } => self.store.relist(server % SERVERS, anew, now_ms),
            NeighbourAction::TurnAway { instance, ms } => {
                self.instances[instance % INSTANCES].store_unreachable_until_ms = now_ms + ms;
            }
            NeighbourAction::StoreOutage { ms } => {
                self.store_down_until_ms = now_ms + ms;
                self.store_up_since_ms = now_ms + ms;
            }
            NeighbourAction::Restore { age_ms, ms, rewrite_ms } => {
                self.store.restore(age_ms, rewrite_ms, now_ms);
                self.store_down_until_ms = self.store_down_until_ms.max(now_ms + ms);
                self.store_up_since_ms = self.store_up_since_ms.max(now_ms + ms.max(rewrite_ms));
            }
            NeighbourAction::Kill { instance, ms } => {
                let instance = &mut self.instances[instance % INSTANCES];
                instance.is_alive = false;
                instance.unavailable_until_ms = now_ms + ms;
            }
            NeighbourAction::Freeze { instance, ms } => {
                let instance = &mut self.instances[instance % INSTANCES];
                instance.unavailable_until_ms = instance.unavailable_until_ms.max(now_ms + ms);
            }
            NeighbourAction::LoseCalls { ms, percent } => {
                self.call_loss = (now_ms + ms, percent);
                self.calls_work_since_ms = now_ms + ms;
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.store.write_heartbeats(now_ms);
        self.store.write_lost(now_ms);
        for i in 0..INSTANCES {
            if self.instances[i].is_unavailable(now_ms) {
                self.instances[i].up_since_ms = now_ms;
                continue;
            }
            if !self.instances[i].is_alive {
                let source = self.rng.u64(..);
                self.instances[i] = NeighbourInstance::start(self.members[i], &self.members, source, now_ms);
            }
            self.instances[i].expire(Timestamp::from_millis(now_ms));
            self.request_config(i, now_ms);
            self.request_directory(i, now_ms);
            self.call_neighbours(i, now_ms);
        }
        (0..INSTANCES).for_each(|i| self.check(i, now_ms));
    }

    fn can_reach_store(&self, i: usize, now_ms: u64) -> bool {
        now_ms >= self.store_down_until_ms && now_ms >= self.instances[i].store_unreachable_until_ms
    }

    /// Returns whether the instance must read the state from the store now.
    fn must_read(&self, i: usize, state: SharedState, now_ms: u64) -> bool {
        let instance = &self.instances[i];
        let now = Timestamp::from_millis(now_ms);
        instance.freshness.read_deferred_until(state, instance.neighbours.is_reader(), now).is_none()
    }

    fn request_config(&mut self, i: usize, now_ms: u64) {
        let Some(StoreRequest { sent_at_ms }) = self.instances[i].config_request else {
            if now_ms >= self.instances[i].next_config_request_ms
                && self.must_read(i, SharedState::Config, now_ms)
            {
                self.instances[i].config_request = Some(StoreRequest { sent_at_ms: now_ms });
            }
            return;
        };
        let (can_reach_store, version) = (self.can_reach_store(i, now_ms), self.store.stored_version());
        let instance = &mut self.instances[i];
        let waited_ms = now_ms - sent_at_ms;
        if can_reach_store && version > instance.serving.version() {
            let versions = instance.apply_config(version);
            instance.freshness.confirm(SharedState::Config, Timestamp::from_millis(sent_at_ms), 0);
            instance.config_request = None;
            self.check_versions(i, versions);
        } else if can_reach_store && waited_ms >= LONG_POLL_MS {
            instance.freshness.confirm(
                SharedState::Config,
                Timestamp::from_millis(sent_at_ms + LONG_POLL_MS),
                0,
            );
            instance.config_request = None;
        } else if waited_ms >= LONG_POLL_MS + STORE_TIMEOUT_MS {
            instance.config_request = None;
            instance.next_config_request_ms = now_ms + RETRY_DELAY_MS;
        }
    }

    fn request_directory(&mut self, i: usize, now_ms: u64) {
        let now = Timestamp::from_millis(now_ms);
        let Some(StoreRequest { sent_at_ms }) = self.instances[i].directory_request else {
            let must_read = self.must_read(i, SharedState::Directory, now_ms);
            let instance = &mut self.instances[i];
            instance.directory_request_failed &= must_read;
            if now_ms >= instance.next_directory_request_ms && must_read {
                instance.directory_request = Some(StoreRequest { sent_at_ms: now_ms });
            }
            return;
        };
        if !self.can_reach_store(i, now_ms) {
            if now_ms >= sent_at_ms + STORE_TIMEOUT_MS {
                let instance = &mut self.instances[i];
                instance.directory_request = None;
                instance.directory_request_failed = true;
                instance.next_directory_request_ms = now_ms + RETRY_DELAY_MS;
            }
            return;
        }
        let instance = &mut self.instances[i];
        let had_failed = std::mem::replace(&mut instance.directory_request_failed, false);
        if had_failed && !instance.freshness.is_fresh(SharedState::Directory, now) {
            instance.directory.record_outage_end(now);
        }
        let resumed = instance.read_to.filter(|(_, read_at_ms)| now_ms < read_at_ms + RESUME_WINDOW_MS);
        match resumed.and_then(|(position, _)| self.store.read(position)) {
            Some(changes) => {
                for (position, change) in changes {
                    instance.directory.apply(change.clone(), position, now);
                }
            }
            None => instance.directory.replace(self.store.listing(), self.store.end(), now),
        }
        instance.read_to = Some((self.store.end(), now_ms));
        instance.freshness.confirm(SharedState::Directory, Timestamp::from_millis(sent_at_ms), 0);
        instance.directory_request = None;
        instance.next_directory_request_ms = now_ms + DIRECTORY_POLL_INTERVAL_MS;
    }

    fn call_neighbours(&mut self, i: usize, now_ms: u64) {
        if now_ms < self.instances[i].next_round_ms {
            return;
        }
        let now = Timestamp::from_millis(now_ms);
        let is_stale = self.instances[i].is_stale(now);
        let version = self.instances[i].serving.version();
        let mut took_ms = 0;
        for callee in self.instances[i].neighbours.next_round(version, is_stale) {
            let j = self.members.iter().position(|member| *member == callee);
            let is_lost = now_ms < self.call_loss.0 && self.rng.u32(..100) < self.call_loss.1;
            let Some(j) = j.filter(|j| !self.instances[*j].is_unavailable(now_ms) && !is_lost) else {
                took_ms += CALL_TIMEOUT_MS;
                continue;
            };
            let mark = self.instances[i].neighbours.mark(callee);
            let response = self.instances[j].respond(mark, now);
            let versions = self.instances[i].apply_response(callee, response, now);
            self.check_versions(i, versions);
        }
        self.instances[i].next_round_ms = now_ms + ROUND_INTERVAL_MS + took_ms;
    }

    fn check_versions(&mut self, i: usize, (before, after): (u64, u64)) {
        if after < before {
            self.outcome.add_violation(format!("instance {i} went back from version {before} to {after}"));
        }
    }

    /// Returns the bound that applies to instance `i` now, if any.
    fn instance_bound_ms(&self, i: usize, now_ms: u64) -> Option<u64> {
        let instance = &self.instances[i];
        let is_healthy = |instance: &NeighbourInstance| {
            !instance.is_unavailable(now_ms) && now_ms >= instance.up_since_ms + RECOVERY_MS
        };
        let lacks_store =
            |instance: &NeighbourInstance| now_ms < instance.store_unreachable_until_ms + RECOVERY_MS;
        let store_is_healthy = now_ms >= self.store_up_since_ms + RECOVERY_MS;
        if !is_healthy(instance) || !store_is_healthy {
            return None;
        }
        if !lacks_store(instance) {
            return Some(BOUND_MS);
        }
        let calls_work = now_ms >= self.calls_work_since_ms + RECOVERY_MS;
        let others = self.instances.iter().filter(|other| other.addr != instance.addr);
        let informed = others.filter(|other| is_healthy(other) && !lacks_store(other)).count();
        let all_are_healthy = self.instances.iter().all(is_healthy);
        (calls_work && all_are_healthy && informed > 0).then_some(UNSTABLE_BOUND_MS)
    }

    /// Returns the bound for a change made at `made_at_ms`, at an instance whose own bound is `bound_ms`.
    fn change_bound_ms(&self, made_at_ms: u64, bound_ms: u64) -> u64 {
        let ends = self.instances.iter().map(|instance| instance.store_unreachable_until_ms);
        let unstable_until_ms = ends.max().unwrap_or(0).max(self.store_up_since_ms) + RECOVERY_MS;
        if made_at_ms < unstable_until_ms { UNSTABLE_BOUND_MS.max(bound_ms) } else { bound_ms }
    }

    fn check(&mut self, i: usize, now_ms: u64) {
        let Some(bound_ms) = self.instance_bound_ms(i, now_ms) else {
            return;
        };
        let now = Timestamp::from_millis(now_ms);
        let instance = &self.instances[i];
        let mut violations = Vec::new();
        let published_at_ms = self.store.published_at_ms;
        let is_late = now_ms > published_at_ms + self.change_bound_ms(published_at_ms, bound_ms);
        if instance.serving.version() < self.store.version && is_late {
            violations.push(format!("instance {i} misses version {}", self.store.version));
        }
        let ready: BTreeSet<_> = instance.directory.ready(now).map(|record| record.id.clone()).collect();
        for server in 0..SERVERS {
            let (id, accepts_work, since_ms) = self.store.expected_state(server);
            let is_late = now_ms > since_ms + self.change_bound_ms(since_ms, bound_ms);
            let in_expiry_grace = now_ms < self.store_up_since_ms + RECOVERY_MS + EXPIRY_GRACE_MS
                || now_ms < instance.store_unreachable_until_ms + RECOVERY_MS + EXPIRY_GRACE_MS;
            if is_late && accepts_work && !ready.contains(id) {
                violations.push(format!("instance {i} does not use {id}"));
            } else if is_late && !accepts_work && ready.contains(id) && !in_expiry_grace {
                violations.push(format!("instance {i} still uses {id}"));
            }
        }
        violations.into_iter().for_each(|violation| self.outcome.add_violation(violation));
    }
}
