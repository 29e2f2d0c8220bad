//! The policy of fuchsiabay: its router at several entry instances and its scheduler at each server.

use std::collections::HashMap;

use fastrand::Rng;
use fuchsiabay_admission::{Command, Job, JobId, Limits, Scheduler};
use fuchsiabay_base::{Fingerprint, Generation, ServiceName, Timestamp, WriterId, ZoneName};
use fuchsiabay_routing::{Backoff, Member, PickArgs, RetryBudget, Router};
use fuchsiabay_wire::LoadReport;

use super::{Event, Fate, Policy, Scene, Settings, run::HOP_MS};
use crate::trace::Arrival;

/// The interval at which running work is reported to its scheduler, in milliseconds.
const PROGRESS_MS: u64 = 1_000;

/// Servers that a request is offered to before it is refused.
const TRIES: usize = 3;

/// The limits of the preset that the measures run under.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PresetLimits {
    pub(crate) limits: Limits,
    pub(crate) spill_over_ms: u64,
    pub(crate) retry_budget_percent: u32,
}

#[derive(Debug)]
struct Entry {
    router: Router<usize>,
    budget: RetryBudget,
}

/// The policy of fuchsiabay.
#[derive(Debug)]
pub(crate) struct Managed {
    service: ServiceName,
    preset: PresetLimits,
    entries: Vec<Entry>,
    schedulers: Vec<Scheduler>,
    /// The server that each accepted request waits or runs at.
    places: HashMap<usize, usize>,
    backoffs: HashMap<usize, Backoff>,
    next_wake: Vec<Option<u64>>,
    rng: Rng,
    pub(crate) retries: u64,
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

fn writer(server: usize) -> WriterId {
    WriterId { instance: format!("server-{server}").as_str().into(), generation: Generation(1) }
}

impl Managed {
    pub(crate) fn new(settings: Settings, preset: PresetLimits) -> Self {
        let service = ServiceName::new("model");
        let members: Vec<Member> = (0..settings.servers)
            .map(|server| Member {
                id: writer(server),
                zone: zone(server % settings.zones),
                service: service.clone(),
            })
            .collect();
        let entries = (0..settings.zones)
            .map(|index| {
                let router = Router::new(zone(index));
                let mut index = 0..settings.servers;
                router.update(members.clone(), |_| index.next().unwrap_or_default());
                for server in router.servers(&service).iter() {
                    server.set_connected(true);
                }
                Entry { router, budget: RetryBudget::new(preset.retry_budget_percent, Timestamp::ZERO) }
            })
            .collect();
        let limits = Limits { slots: settings.slots, ..preset.limits };
        Self {
            service,
            preset,
            entries,
            schedulers: vec![Scheduler::new(limits); settings.servers],
            places: HashMap::new(),
            backoffs: HashMap::new(),
            next_wake: vec![None; settings.servers],
            rng: Rng::with_seed(settings.seed),
            retries: 0,
        }
    }

    fn offer(&mut self, scene: &mut Scene<'_>, request: usize, retry: bool) {
        let arrival = &scene.arrivals[request];
        let now = Timestamp::from_millis(scene.now);
        let zone = request % self.entries.len();
        let mut tried = Vec::new();
        while tried.len() < TRIES {
            let entry = &self.entries[zone];
            let args = PickArgs {
                service: &self.service,
                prefix: None,
                tried: &tried,
                spill_over_ms: self.preset.spill_over_ms,
            };
            let Ok(server) = entry.router.pick(&args, now, &mut self.rng) else {
                break;
            };
            if !tried.is_empty() && !entry.budget.take(now) {
                break;
            }
            server.count_send(arrival.estimate);
            let index = *server.link();
            tried.push(server.id().clone());
            if retry || tried.len() > 1 {
                self.retries += 1;
            }
            let admitted =
                scene.alive[index] && self.schedulers[index].submit(now, job(request, arrival)).is_ok();
            server.apply_report(self.load(index, now), now);
            self.take_commands(scene, index);
            if admitted {
                self.places.insert(request, index);
                return;
            }
        }
        scene.now += 2 * HOP_MS * tried.len() as u64;
        scene.end(request, Fate::Refused);
        scene.now -= 2 * HOP_MS * tried.len() as u64;
    }

    fn load(&self, server: usize, now: Timestamp) -> LoadReport {
        let load = self.schedulers[server].load(now);
        LoadReport {
            generation: Generation(1),
            queued: load.queued,
            running: load.running,
            slots: load.slots,
            outstanding_tokens: load.outstanding_tokens,
            predicted_wait_ms: load.predicted_wait_ms,
            draining: load.draining || load.down,
        }
    }

    fn take_commands(&mut self, scene: &mut Scene<'_>, server: usize) {
        while let Some(command) = self.schedulers[server].next_command() {
            match command {
                Command::Start(JobId(request)) => scene.start(server, request as usize),
                Command::Drop(JobId(request), _) => {
                    self.places.remove(&(request as usize));
                    scene.end(request as usize, Fate::Lost);
                }
                // The fleet cancels nothing.
                Command::CancelRunning(_) => {}
                Command::Pause(JobId(request)) => scene.pause(request as usize),
                Command::Resume(JobId(request)) => scene.resume(request as usize),
            }
        }
        self.arm(scene, server);
    }

    fn arm(&mut self, scene: &mut Scene<'_>, server: usize) {
        let scheduler = &self.schedulers[server];
        let deadline = scheduler.next_deadline().map(Timestamp::as_millis);
        let progress = (!scheduler.is_idle()).then_some(scene.now + PROGRESS_MS);
        let Some(at) = deadline.into_iter().chain(progress).min().map(|at| at.max(scene.now + 1)) else {
            return;
        };
        if self.next_wake[server].is_none_or(|armed| at < armed || armed <= scene.now) {
            self.next_wake[server] = Some(at);
            scene.schedule(at, Event::Server { server });
        }
    }
}

fn job(request: usize, arrival: &Arrival) -> Job {
    Job {
        id: JobId(request as u64),
        workspace: arrival.workspace.clone(),
        weight: 1,
        fingerprint: Fingerprint::of(&[&request.to_le_bytes()]),
        priority: 0,
        estimated_tokens: arrival.estimate,
        deadline: Timestamp::from_millis(arrival.deadline_ms),
        solo: false,
        pausable: true,
    }
}

impl Policy for Managed {
    fn arrive(&mut self, scene: &mut Scene<'_>, request: usize) {
        let retry = self.backoffs.contains_key(&request);
        if !retry {
            let zone = request % self.entries.len();
            self.entries[zone].budget.count_request(self.preset.retry_budget_percent);
        }
        self.offer(scene, request, retry);
    }

    fn finished(&mut self, scene: &mut Scene<'_>, server: usize, request: usize) {
        self.places.remove(&request);
        let now = Timestamp::from_millis(scene.now);
        self.schedulers[server].finish(now, JobId(request as u64), scene.arrivals[request].tokens);
        self.take_commands(scene, server);
    }

    fn server_event(&mut self, scene: &mut Scene<'_>, server: usize) {
        if self.next_wake[server] != Some(scene.now) {
            return;
        }
        self.next_wake[server] = None;
        let now = Timestamp::from_millis(scene.now);
        let running: Vec<JobId> = self.schedulers[server].running().collect();
        for id in running {
            let produced = scene.produced(id.0 as usize);
            self.schedulers[server].progress(now, id, produced);
        }
        self.schedulers[server].tick(now);
        self.take_commands(scene, server);
    }

    fn report(&mut self, scene: &mut Scene<'_>) {
        let now = Timestamp::from_millis(scene.now);
        for entry in &self.entries {
            for server in entry.router.servers(&self.service).iter() {
                if scene.alive[*server.link()] {
                    server.apply_report(self.load(*server.link(), now), now);
                }
            }
        }
    }

    fn zone_lost(&mut self, scene: &mut Scene<'_>, servers: &[usize], _in_flight: &[usize]) {
        for entry in &self.entries {
            for server in entry.router.servers(&self.service).iter() {
                if servers.contains(server.link()) {
                    server.set_connected(false);
                }
            }
        }
        let mut lost: Vec<usize> = self
            .places
            .iter()
            .filter(|(_, server)| servers.contains(server))
            .map(|(&request, _)| request)
            .collect();
        lost.sort_unstable();
        let now = Timestamp::from_millis(scene.now);
        for request in lost {
            self.places.remove(&request);
            let zone = request % self.entries.len();
            if !self.entries[zone].budget.take(now) {
                scene.end(request, Fate::Lost);
                continue;
            }
            let backoff = self.backoffs.entry(request).or_default();
            let at = backoff.next(now, &mut self.rng).as_millis();
            scene.schedule(at, Event::Arrive(request));
        }
    }
}
