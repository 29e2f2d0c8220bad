//! The policy of fuchsiabay: a router with its retry budget on one entry instance in each zone, and a scheduler beside
//! each server.

use std::collections::HashMap;

use fastrand::Rng;
use fuchsiabay_admission::{Command, Job, JobId, Limits, Scheduler};
use fuchsiabay_base::{Fingerprint, Generation, ServiceName, Timestamp, WriterId, ZoneName};
use fuchsiabay_routing::{Backoff, Member, PickArgs, RetryBudget, Router};
use fuchsiabay_wire::LoadReport;

use super::{Event, FleetSettings, Policy, RequestStatus, Simulation, simulation::ONE_WAY_DELAY_MS};
use crate::trace::Arrival;

/// The interval at which the progress of running requests is reported to their scheduler, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 1_000;

/// The maximum number of servers that a request is sent to before it is refused.
const MAX_ATTEMPTS: usize = 3;

/// The values of a preset that the policy uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PresetSettings {
    pub(crate) limits: Limits,
    pub(crate) spill_over_ms: u64,
    pub(crate) retry_budget_percent: u32,
}

/// An entry instance.
#[derive(Debug)]
struct Entry {
    router: Router<usize>,
    budget: RetryBudget,
}

/// The routing and admission of fuchsiabay.
#[derive(Debug)]
pub(crate) struct FuchsiabayPolicy {
    service: ServiceName,
    preset: PresetSettings,
    entries: Vec<Entry>,
    schedulers: Vec<Scheduler>,
    /// The server of each request that is queued or running.
    assigned_servers: HashMap<usize, usize>,
    /// The backoff of each request that was sent again because its server failed.
    backoffs: HashMap<usize, Backoff>,
    /// The time of the next wakeup of each server.
    next_wakeup: Vec<Option<u64>>,
    rng: Rng,
    /// Attempts after the first one of their request.
    pub(crate) retries: u64,
}

fn zone_name(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

fn writer_id(server: usize) -> WriterId {
    WriterId { instance: format!("server-{server}").as_str().into(), generation: Generation(1) }
}

impl FuchsiabayPolicy {
    pub(crate) fn new(settings: FleetSettings, preset: PresetSettings) -> Self {
        let service = ServiceName::new("model");
        let members: Vec<Member> = (0..settings.servers)
            .map(|server| Member {
                id: writer_id(server),
                zone: zone_name(server % settings.zones),
                service: service.clone(),
            })
            .collect();
        let entries = (0..settings.zones)
            .map(|zone| {
                let router = Router::new(zone_name(zone));
                let mut servers = 0..settings.servers;
                router.update(members.clone(), |_| servers.next().unwrap_or_default());
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
            assigned_servers: HashMap::new(),
            backoffs: HashMap::new(),
            next_wakeup: vec![None; settings.servers],
            rng: Rng::with_seed(settings.seed),
            retries: 0,
        }
    }

    /// Sends a request to one server after another until one admits it. Refuses it after [`MAX_ATTEMPTS`] servers, or
    /// earlier if no server is left or the retry budget is exhausted.
    fn submit(&mut self, simulation: &mut Simulation<'_>, request: usize, retry: bool) {
        let arrival = &simulation.arrivals[request];
        let now = Timestamp::from_millis(simulation.now);
        let zone = request % self.entries.len();
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
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
            if !tried.is_empty() && !entry.budget.try_take(now) {
                break;
            }
            server.count_send(arrival.estimated_tokens);
            let index = *server.handle();
            tried.push(server.id().clone());
            if retry || tried.len() > 1 {
                self.retries += 1;
            }
            let admitted =
                simulation.alive[index] && self.schedulers[index].submit(now, job(request, arrival)).is_ok();
            server.apply_report(self.load_report(index, now), now);
            self.execute_commands(simulation, index);
            if admitted {
                self.assigned_servers.insert(request, index);
                return;
            }
        }
        // Each attempt took one round trip, so the request ends later than it arrived.
        simulation.now += 2 * ONE_WAY_DELAY_MS * tried.len() as u64;
        simulation.end(request, RequestStatus::Refused);
        simulation.now -= 2 * ONE_WAY_DELAY_MS * tried.len() as u64;
    }

    fn load_report(&self, server: usize, now: Timestamp) -> LoadReport {
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

    fn execute_commands(&mut self, simulation: &mut Simulation<'_>, server: usize) {
        while let Some(command) = self.schedulers[server].next_command() {
            match command {
                Command::Start(JobId(request)) => simulation.start(server, request as usize),
                Command::Drop(JobId(request), _) => {
                    self.assigned_servers.remove(&(request as usize));
                    simulation.end(request as usize, RequestStatus::Lost);
                }
                // Requests are never cancelled in the simulation.
                Command::CancelRunning(_) => {}
                Command::Pause(JobId(request)) => simulation.pause(request as usize),
                Command::Resume(JobId(request)) => simulation.resume(request as usize),
            }
        }
        self.schedule_wakeup(simulation, server);
    }

    /// Schedules a wakeup for the next deadline or progress report, whichever comes first.
    fn schedule_wakeup(&mut self, simulation: &mut Simulation<'_>, server: usize) {
        let scheduler = &self.schedulers[server];
        let deadline = scheduler.next_deadline().map(Timestamp::as_millis);
        let progress = (!scheduler.is_idle()).then_some(simulation.now + PROGRESS_INTERVAL_MS);
        let Some(at) = deadline.into_iter().chain(progress).min().map(|at| at.max(simulation.now + 1)) else {
            return;
        };
        if self.next_wakeup[server].is_none_or(|scheduled| at < scheduled || scheduled <= simulation.now) {
            self.next_wakeup[server] = Some(at);
            simulation.schedule(at, Event::Wakeup { server });
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
        estimated_tokens: arrival.estimated_tokens,
        deadline: Timestamp::from_millis(arrival.deadline_ms),
        solo: false,
        pausable: true,
    }
}

impl Policy for FuchsiabayPolicy {
    fn on_arrival(&mut self, simulation: &mut Simulation<'_>, request: usize) {
        let retry = self.backoffs.contains_key(&request);
        if !retry {
            let zone = request % self.entries.len();
            self.entries[zone].budget.count_request(self.preset.retry_budget_percent);
        }
        self.submit(simulation, request, retry);
    }

    fn on_finished(&mut self, simulation: &mut Simulation<'_>, server: usize, request: usize) {
        self.assigned_servers.remove(&request);
        let now = Timestamp::from_millis(simulation.now);
        self.schedulers[server].finish(now, JobId(request as u64), simulation.arrivals[request].tokens);
        self.execute_commands(simulation, server);
    }

    fn on_wakeup(&mut self, simulation: &mut Simulation<'_>, server: usize) {
        if self.next_wakeup[server] != Some(simulation.now) {
            return;
        }
        self.next_wakeup[server] = None;
        let now = Timestamp::from_millis(simulation.now);
        let running: Vec<JobId> = self.schedulers[server].running().collect();
        for id in running {
            let generated = simulation.generated_tokens(id.0 as usize);
            self.schedulers[server].progress(now, id, generated);
        }
        self.schedulers[server].tick(now);
        self.execute_commands(simulation, server);
    }

    fn on_report(&mut self, simulation: &mut Simulation<'_>) {
        let now = Timestamp::from_millis(simulation.now);
        for entry in &self.entries {
            for server in entry.router.servers(&self.service).iter() {
                if simulation.alive[*server.handle()] {
                    server.apply_report(self.load_report(*server.handle(), now), now);
                }
            }
        }
    }

    fn on_zone_loss(&mut self, simulation: &mut Simulation<'_>, servers: &[usize], _in_flight: &[usize]) {
        for entry in &self.entries {
            for server in entry.router.servers(&self.service).iter() {
                if servers.contains(server.handle()) {
                    server.set_connected(false);
                }
            }
        }
        let mut lost: Vec<usize> = self
            .assigned_servers
            .iter()
            .filter(|(_, server)| servers.contains(server))
            .map(|(&request, _)| request)
            .collect();
        lost.sort_unstable();
        let now = Timestamp::from_millis(simulation.now);
        for request in lost {
            self.assigned_servers.remove(&request);
            let zone = request % self.entries.len();
            if !self.entries[zone].budget.try_take(now) {
                simulation.end(request, RequestStatus::Lost);
                continue;
            }
            let backoff = self.backoffs.entry(request).or_default();
            let at = backoff.next(now, &mut self.rng).as_millis();
            simulation.schedule(at, Event::Arrive(request));
        }
    }
}
