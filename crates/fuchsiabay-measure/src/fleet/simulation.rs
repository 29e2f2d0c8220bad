//! A discrete-event simulation of backend servers on virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use crate::trace::{Arrival, DECODE_MS_PER_TOKEN};

/// One-way delay between an entry instance and a backend server, in milliseconds.
pub(crate) const ONE_WAY_DELAY_MS: u64 = 1;

/// The size of a fleet and its faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) servers: usize,
    pub(crate) zones: usize,
    pub(crate) slots: u32,
    pub(crate) seed: u64,
    /// When all servers of the last zone fail.
    pub(crate) zone_loss_ms: Option<u64>,
}

/// Whether and how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    Pending,
    Answered,
    Refused,
    /// Admitted, and then dropped at its deadline or lost together with its server.
    Lost,
}

/// The result of a request and its times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) status: RequestStatus,
    pub(crate) started_ms: Option<u64>,
    pub(crate) ended_ms: u64,
    pub(crate) attempts: u32,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches its entry instance.
    Arrive(usize),
    /// A request finishes. The event is stale if `run_id` is not the current run of the request, because a pause has
    /// delayed its end.
    Finish { server: usize, request: usize, run_id: u64 },
    /// A timer that a policy set for a server.
    Wakeup { server: usize },
    /// Load reports are due.
    Report,
    /// The servers of a zone fail.
    ZoneLoss,
}

/// The state of the simulation, through which a policy starts, pauses and ends requests.
#[derive(Debug)]
pub(crate) struct Simulation<'a> {
    /// The virtual time, in milliseconds.
    pub(crate) now: u64,
    pub(crate) settings: FleetSettings,
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) outcomes: Vec<Outcome>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// The last sequence number. Sequence numbers order events at the same time and identify runs.
    sequence: u64,
    running: HashMap<usize, RunningRequest>,
    pub(crate) alive: Vec<bool>,
}

/// A request that was started and has not ended. It is running or paused.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    server: usize,
    run_id: u64,
    remaining_ms: u64,
    resumed_at_ms: u64,
    paused: bool,
}

/// Chooses the server of each request and the order of each server's queue.
pub(crate) trait Policy {
    fn on_arrival(&mut self, simulation: &mut Simulation<'_>, request: usize);
    fn on_finished(&mut self, simulation: &mut Simulation<'_>, server: usize, request: usize);
    fn on_wakeup(&mut self, simulation: &mut Simulation<'_>, server: usize);
    fn on_report(&mut self, simulation: &mut Simulation<'_>);
    fn on_zone_loss(&mut self, simulation: &mut Simulation<'_>, servers: &[usize], in_flight: &[usize]);
}

impl Simulation<'_> {
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Starts a request in a free slot of `server`.
    pub(crate) fn start(&mut self, server: usize, request: usize) {
        self.outcomes[request].started_ms.get_or_insert(self.now);
        self.outcomes[request].attempts += 1;
        let remaining_ms = u64::from(self.arrivals[request].tokens) * DECODE_MS_PER_TOKEN;
        self.start_run(
            request,
            RunningRequest { server, run_id: 0, remaining_ms, resumed_at_ms: self.now, paused: false },
        );
    }

    pub(crate) fn pause(&mut self, request: usize) {
        if let Some(run) = self.running.get_mut(&request).filter(|run| !run.paused) {
            run.remaining_ms = run.remaining_ms.saturating_sub(self.now - run.resumed_at_ms);
            run.paused = true;
        }
    }

    pub(crate) fn resume(&mut self, request: usize) {
        if let Some(&run) = self.running.get(&request).filter(|run| run.paused) {
            self.start_run(request, run);
        }
    }

    /// Returns how many tokens a running request has generated.
    pub(crate) fn generated_tokens(&self, request: usize) -> u32 {
        let Some(run) = self.running.get(&request) else {
            return 0;
        };
        let elapsed_ms = if run.paused { 0 } else { self.now - run.resumed_at_ms };
        let remaining = run.remaining_ms.saturating_sub(elapsed_ms) / DECODE_MS_PER_TOKEN;
        self.arrivals[request].tokens - (remaining as u32).min(self.arrivals[request].tokens)
    }

    /// Records the end of a request. Only the first end counts.
    pub(crate) fn end(&mut self, request: usize, status: RequestStatus) {
        let outcome = &mut self.outcomes[request];
        if outcome.status == RequestStatus::Pending {
            outcome.status = status;
            outcome.ended_ms = self.now;
        }
    }

    /// Starts a request, or resumes it, with a new run id that makes its earlier finish event stale.
    fn start_run(&mut self, request: usize, run: RunningRequest) {
        self.sequence += 1;
        let id = self.sequence;
        let run = RunningRequest { run_id: id, resumed_at_ms: self.now, paused: false, ..run };
        self.running.insert(request, run);
        let at = self.now + run.remaining_ms;
        self.schedule(at, Event::Finish { server: run.server, request, run_id: id });
    }
}

/// Simulates the arrivals under a policy and returns the outcome of each request.
pub(crate) fn run<P: Policy>(settings: FleetSettings, arrivals: &[Arrival], policy: &mut P) -> Vec<Outcome> {
    let pending = Outcome { status: RequestStatus::Pending, started_ms: None, ended_ms: 0, attempts: 0 };
    let mut simulation = Simulation {
        now: 0,
        settings,
        arrivals,
        outcomes: vec![pending; arrivals.len()],
        events: BinaryHeap::new(),
        sequence: 0,
        running: HashMap::new(),
        alive: vec![true; settings.servers],
    };
    for (i, arrival) in arrivals.iter().enumerate() {
        simulation.schedule(arrival.at_ms, Event::Arrive(i));
    }
    simulation.schedule(0, Event::Report);
    if let Some(at) = settings.zone_loss_ms {
        simulation.schedule(at, Event::ZoneLoss);
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        handle_event(&mut simulation, policy, event);
    }
    simulation.outcomes
}

/// The interval of load reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

fn handle_event<P: Policy>(simulation: &mut Simulation<'_>, policy: &mut P, event: Event) {
    match event {
        Event::Arrive(request) => policy.on_arrival(simulation, request),
        Event::Finish { server, request, run_id } => {
            if simulation
                .running
                .get(&request)
                .is_none_or(|current| current.run_id != run_id || current.paused)
            {
                return;
            }
            simulation.running.remove(&request);
            simulation.end(request, RequestStatus::Answered);
            policy.on_finished(simulation, server, request);
        }
        Event::Wakeup { server } => {
            if simulation.alive[server] {
                policy.on_wakeup(simulation, server);
            }
        }
        Event::Report => {
            policy.on_report(simulation);
            if !simulation.events.is_empty() {
                simulation.schedule(simulation.now + REPORT_INTERVAL_MS, Event::Report);
            }
        }
        Event::ZoneLoss => fail_zone(simulation, policy),
    }
}

fn fail_zone<P: Policy>(simulation: &mut Simulation<'_>, policy: &mut P) {
    let zones = simulation.settings.zones;
    let failed: Vec<usize> =
        (0..simulation.settings.servers).filter(|server| server % zones == zones - 1).collect();
    for &server in &failed {
        simulation.alive[server] = false;
    }
    let mut in_flight: Vec<usize> = simulation
        .running
        .iter()
        .filter(|(_, run)| failed.contains(&run.server))
        .map(|(&request, _)| request)
        .collect();
    in_flight.sort_unstable();
    for request in &in_flight {
        simulation.running.remove(request);
    }
    policy.on_zone_loss(simulation, &failed, &in_flight);
}
