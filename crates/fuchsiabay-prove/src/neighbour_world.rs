//! Entry instances that tell each other the configuration and the directory, and the store that two of them read.

use std::{collections::BTreeSet, net::SocketAddr};

use fuchsiabay_balancer::SharedState;
use fuchsiabay_base::Timestamp;

use crate::{
    Outcome, Step,
    neighbour_instance::{NeighbourInstance, Question},
    neighbour_script::{INSTANCES, NeighbourAction, SCRIPT_MS, SERVERS},
    neighbour_store::NeighbourStore,
};

/// The tick of the model, in milliseconds.
const TICK_MS: u64 = 10;
/// When a case ends, in milliseconds.
const END_MS: u64 = SCRIPT_MS + 12_000;
/// The time for which the store holds a question for the configuration back, in milliseconds.
const HOLD_MS: u64 = 1_000;
/// The time that an instance waits for the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 600;
/// The pause after a failed question, in milliseconds.
const RETRY_MS: u64 = 300;
/// The interval in which a reader reads the directory, in milliseconds.
const DIRECTORY_MS: u64 = 700;
/// The time after which the directory is read whole, in milliseconds.
const RESUME_MS: u64 = 5_000;
/// The interval of the calls between instances, and the time that one may take, in milliseconds.
const ROUND_MS: u64 = 250;
const CALL_MS: u64 = 400;
/// The time for which an instance must have been well to be held to a bound, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// The bound of every change, in milliseconds.
const BOUND_MS: u64 = 2_000;
/// The bound of changes that are made while the store leaves somebody out or shortly after, and of instances that it leaves
/// out, in milliseconds.
const UNSTABLE_BOUND_MS: u64 = 5_000;
/// The longest time for which a server that lapsed in an outage may come back, in milliseconds.
const LAPSE_MS: u64 = 2_000;

pub(crate) struct NeighbourWorld {
    store: NeighbourStore,
    instances: Vec<NeighbourInstance>,
    members: Vec<SocketAddr>,
    rng: fastrand::Rng,
    store_down_until_ms: u64,
    /// Since when the store has answered everybody but those that it turns away.
    store_up_since_ms: u64,
    lost: (u64, u32),
    calls_well_since_ms: u64,
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
            lost: (0, 0),
            calls_well_since_ms: 0,
            outcome: Outcome::default(),
        };
        let mut steps = steps.iter().peekable();
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            while let Some(step) = steps.next_if(|step| step.at_ms <= now_ms) {
                world.act(&step.action, now_ms);
            }
            world.tick(now_ms);
        }
        let versions: BTreeSet<u64> =
            world.instances.iter().map(|instance| instance.serving.version()).collect();
        world.outcome.add_fact("versions", format!("{versions:?}"));
        world.outcome
    }

    fn act(&mut self, action: &NeighbourAction, now_ms: u64) {
        match *action {
            NeighbourAction::Publish => self.store.publish(now_ms),
            NeighbourAction::Drain { server } => self.store.drain(server % SERVERS, now_ms),
            NeighbourAction::Remove { server } => self.store.remove(server % SERVERS, now_ms),
            NeighbourAction::Return { server, anew } => self.store.put_back(server % SERVERS, anew, now_ms),
            NeighbourAction::TurnAway { instance, ms } => {
                self.instances[instance % INSTANCES].turned_away_until_ms = now_ms + ms;
            }
            NeighbourAction::StoreOutage { ms } => {
                self.store_down_until_ms = now_ms + ms;
                self.store_up_since_ms = now_ms + ms;
            }
            NeighbourAction::Kill { instance, ms } => {
                let instance = &mut self.instances[instance % INSTANCES];
                instance.is_alive = false;
                instance.away_until_ms = now_ms + ms;
            }
            NeighbourAction::Freeze { instance, ms } => {
                let instance = &mut self.instances[instance % INSTANCES];
                instance.away_until_ms = instance.away_until_ms.max(now_ms + ms);
            }
            NeighbourAction::LoseCalls { ms, percent } => {
                self.lost = (now_ms + ms, percent);
                self.calls_well_since_ms = now_ms + ms;
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.store.beat(now_ms);
        for i in 0..INSTANCES {
            if self.instances[i].is_away(now_ms) {
                self.instances[i].well_since_ms = now_ms;
                continue;
            }
            if !self.instances[i].is_alive {
                let source = self.rng.u64(..);
                self.instances[i] = NeighbourInstance::start(self.members[i], &self.members, source, now_ms);
            }
            self.instances[i].directory.expire(Timestamp::from_millis(now_ms));
            self.ask_config(i, now_ms);
            self.ask_directory(i, now_ms);
            self.call_neighbours(i, now_ms);
        }
        (0..INSTANCES).for_each(|i| self.check(i, now_ms));
    }

    fn is_reached(&self, i: usize, now_ms: u64) -> bool {
        now_ms >= self.store_down_until_ms && now_ms >= self.instances[i].turned_away_until_ms
    }

    /// Returns whether the instance reads the store itself now.
    fn reads(&self, i: usize, state: SharedState, now_ms: u64) -> bool {
        let instance = &self.instances[i];
        let now = Timestamp::from_millis(now_ms);
        instance.freshness.read_deferred_until(state, instance.neighbours.is_reader(), now).is_none()
    }

    fn ask_config(&mut self, i: usize, now_ms: u64) {
        let Some(Question { asked_at_ms }) = self.instances[i].config_question else {
            if now_ms >= self.instances[i].ask_config_at_ms && self.reads(i, SharedState::Config, now_ms) {
                self.instances[i].config_question = Some(Question { asked_at_ms: now_ms });
            }
            return;
        };
        let (is_reached, version) = (self.is_reached(i, now_ms), self.store.version);
        let instance = &mut self.instances[i];
        let waited_ms = now_ms - asked_at_ms;
        if is_reached && version > instance.serving.version() {
            let versions = instance.offer(version);
            instance.freshness.confirm(SharedState::Config, Timestamp::from_millis(asked_at_ms), 0);
            instance.config_question = None;
            self.check_versions(i, versions);
        } else if is_reached && waited_ms >= HOLD_MS {
            instance.freshness.confirm(SharedState::Config, Timestamp::from_millis(asked_at_ms + HOLD_MS), 0);
            instance.config_question = None;
        } else if waited_ms >= HOLD_MS + STORE_TIMEOUT_MS {
            instance.config_question = None;
            instance.ask_config_at_ms = now_ms + RETRY_MS;
        }
    }

    fn ask_directory(&mut self, i: usize, now_ms: u64) {
        let now = Timestamp::from_millis(now_ms);
        let Some(Question { asked_at_ms }) = self.instances[i].directory_question else {
            let reads = self.reads(i, SharedState::Directory, now_ms);
            let instance = &mut self.instances[i];
            instance.lost_store &= reads;
            if now_ms >= instance.ask_directory_at_ms && reads {
                instance.directory_question = Some(Question { asked_at_ms: now_ms });
            }
            return;
        };
        if !self.is_reached(i, now_ms) {
            if now_ms >= asked_at_ms + STORE_TIMEOUT_MS {
                let instance = &mut self.instances[i];
                instance.directory_question = None;
                instance.lost_store = true;
                instance.ask_directory_at_ms = now_ms + RETRY_MS;
            }
            return;
        }
        let instance = &mut self.instances[i];
        let was_lost = std::mem::replace(&mut instance.lost_store, false);
        if was_lost && !instance.freshness.is_current(SharedState::Directory, now) {
            instance.directory.note_outage_end(now);
        }
        let offset = match instance.offset.filter(|(_, read_at_ms)| now_ms < read_at_ms + RESUME_MS) {
            Some((offset, _)) => {
                let (changes, offset) = self.store.read(offset);
                for (position, change) in changes {
                    instance.directory.apply(change.clone(), *position, now);
                }
                offset
            }
            None => {
                let (listing, offset) = self.store.listing();
                instance.directory.replace(listing, offset as u64, now);
                offset
            }
        };
        instance.offset = Some((offset, now_ms));
        instance.freshness.confirm(SharedState::Directory, Timestamp::from_millis(asked_at_ms), 0);
        instance.directory_question = None;
        instance.ask_directory_at_ms = now_ms + DIRECTORY_MS;
    }

    fn call_neighbours(&mut self, i: usize, now_ms: u64) {
        if now_ms < self.instances[i].round_at_ms {
            return;
        }
        let now = Timestamp::from_millis(now_ms);
        let lacks_news = self.instances[i].lacks_news(now);
        let version = self.instances[i].serving.version();
        let mut took_ms = 0;
        for callee in self.instances[i].neighbours.next_round(version, lacks_news) {
            let j = self.members.iter().position(|member| *member == callee);
            let is_lost = now_ms < self.lost.0 && self.rng.u32(..100) < self.lost.1;
            let Some(j) = j.filter(|j| !self.instances[*j].is_away(now_ms) && !is_lost) else {
                took_ms += CALL_MS;
                continue;
            };
            let mark = self.instances[i].neighbours.mark(callee);
            let told = self.instances[j].tell(mark, now);
            let versions = self.instances[i].hear(callee, told, now);
            self.check_versions(i, versions);
        }
        self.instances[i].round_at_ms = now_ms + ROUND_MS + took_ms;
    }

    fn check_versions(&mut self, i: usize, (before, after): (u64, u64)) {
        if after < before {
            self.outcome.add_violation(format!("instance {i} went back from version {before} to {after}"));
        }
    }

    /// Returns the bound that instance `i` is held to now, if any.
    fn bound_ms(&self, i: usize, now_ms: u64) -> Option<u64> {
        let instance = &self.instances[i];
        let is_well = |instance: &NeighbourInstance| {
            !instance.is_away(now_ms) && now_ms >= instance.well_since_ms + CONTACT_MS
        };
        let is_turned_away =
            |instance: &NeighbourInstance| now_ms < instance.turned_away_until_ms + CONTACT_MS;
        let store_is_well = now_ms >= self.store_up_since_ms + CONTACT_MS;
        if !is_well(instance) || !store_is_well {
            return None;
        }
        if !is_turned_away(instance) {
            return Some(BOUND_MS);
        }
        let calls_are_well = now_ms >= self.calls_well_since_ms + CONTACT_MS;
        let others = self.instances.iter().filter(|other| other.addr != instance.addr);
        let informed = others.filter(|other| is_well(other) && !is_turned_away(other)).count();
        let all_answer = self.instances.iter().all(is_well);
        (calls_are_well && all_answer && informed > 0).then_some(UNSTABLE_BOUND_MS)
    }

    /// Returns the bound of a change that was made at `made_at_ms`, for an instance that is held to `bound_ms`.
    fn bound_of(&self, made_at_ms: u64, bound_ms: u64) -> u64 {
        let ends = self.instances.iter().map(|instance| instance.turned_away_until_ms);
        let unstable_until_ms = ends.max().unwrap_or(0).max(self.store_up_since_ms) + CONTACT_MS;
        if made_at_ms < unstable_until_ms { UNSTABLE_BOUND_MS.max(bound_ms) } else { bound_ms }
    }

    fn check(&mut self, i: usize, now_ms: u64) {
        let Some(bound_ms) = self.bound_ms(i, now_ms) else {
            return;
        };
        let now = Timestamp::from_millis(now_ms);
        let instance = &self.instances[i];
        let mut found = Vec::new();
        let published_at_ms = self.store.published_at_ms;
        let is_late = now_ms > published_at_ms + self.bound_of(published_at_ms, bound_ms);
        if instance.serving.version() < self.store.version && is_late {
            found.push(format!("instance {i} misses version {}", self.store.version));
        }
        let ready: BTreeSet<_> = instance.directory.ready(now).map(|record| record.id.clone()).collect();
        for server in 0..SERVERS {
            let (id, takes_work, since_ms) = self.store.truth(server);
            let is_late = now_ms > since_ms + self.bound_of(since_ms, bound_ms);
            let has_lapse_time = now_ms < self.store_up_since_ms + CONTACT_MS + LAPSE_MS
                || now_ms < instance.turned_away_until_ms + CONTACT_MS + LAPSE_MS;
            if is_late && takes_work && !ready.contains(id) {
                found.push(format!("instance {i} does not use {id}"));
            } else if is_late && !takes_work && ready.contains(id) && !has_lapse_time {
                found.push(format!("instance {i} still uses {id}"));
            }
        }
        found.into_iter().for_each(|violation| self.outcome.add_violation(violation));
    }
}
