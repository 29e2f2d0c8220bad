//! The event loop.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use crate::trace::{Arrival, TOKEN_MS};

/// One-way delay between an entry instance and a backend server, in milliseconds.
pub(crate) const HOP_MS: u64 = 1;

/// The sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    pub(crate) servers: usize,
    pub(crate) zones: usize,
    pub(crate) slots: u32,
    pub(crate) seed: u64,
    /// When all servers of the last zone die.
    pub(crate) zone_loss_ms: Option<u64>,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Pending,
    Answered,
    Refused,
    /// It was accepted and then given up, at its deadline or with its server.
    Lost,
}

/// The course of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) fate: Fate,
    pub(crate) started_ms: Option<u64>,
    pub(crate) ended_ms: u64,
    pub(crate) attempts: u32,
}

/// Something that happens at a point of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches its entry instance.
    Arrive(usize),
    /// A slot of a server finishes a request. The number distinguishes it from one that was superseded.
    Finish { server: usize, request: usize, run: u64 },
    /// A policy wants to be called for a server.
    Server { server: usize },
    /// Load reports are due.
    Report,
    /// Servers die.
    ZoneLoss,
}

/// What a policy may see and do.
#[derive(Debug)]
pub(crate) struct Scene<'a> {
    pub(crate) now: u64,
    pub(crate) settings: Settings,
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) outcomes: Vec<Outcome>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    running: HashMap<usize, Run>,
    pub(crate) alive: Vec<bool>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    server: usize,
    run: u64,
    remaining_ms: u64,
    resumed_ms: u64,
    paused: bool,
}

/// Chooses servers and orders queues.
pub(crate) trait Policy {
    fn arrive(&mut self, scene: &mut Scene<'_>, request: usize);
    fn finished(&mut self, scene: &mut Scene<'_>, server: usize, request: usize);
    fn server_event(&mut self, scene: &mut Scene<'_>, server: usize);
    fn report(&mut self, scene: &mut Scene<'_>);
    fn zone_lost(&mut self, scene: &mut Scene<'_>, servers: &[usize], in_flight: &[usize]);
}

impl Scene<'_> {
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Starts a request in a free slot.
    pub(crate) fn start(&mut self, server: usize, request: usize) {
        self.outcomes[request].started_ms.get_or_insert(self.now);
        self.outcomes[request].attempts += 1;
        let remaining_ms = u64::from(self.arrivals[request].tokens) * TOKEN_MS;
        self.resume_run(request, Run { server, run: 0, remaining_ms, resumed_ms: self.now, paused: false });
    }

    pub(crate) fn pause(&mut self, request: usize) {
        if let Some(run) = self.running.get_mut(&request).filter(|run| !run.paused) {
            run.remaining_ms = run.remaining_ms.saturating_sub(self.now - run.resumed_ms);
            run.paused = true;
        }
    }

    pub(crate) fn resume(&mut self, request: usize) {
        if let Some(&run) = self.running.get(&request).filter(|run| run.paused) {
            self.resume_run(request, run);
        }
    }

    /// Returns the tokens that a running request has produced.
    pub(crate) fn produced(&self, request: usize) -> u32 {
        let Some(run) = self.running.get(&request) else {
            return 0;
        };
        let ran = if run.paused { 0 } else { self.now - run.resumed_ms };
        let remaining = run.remaining_ms.saturating_sub(ran) / TOKEN_MS;
        self.arrivals[request].tokens - (remaining as u32).min(self.arrivals[request].tokens)
    }

    pub(crate) fn end(&mut self, request: usize, fate: Fate) {
        let outcome = &mut self.outcomes[request];
        if outcome.fate == Fate::Pending {
            outcome.fate = fate;
            outcome.ended_ms = self.now;
        }
    }

    fn resume_run(&mut self, request: usize, run: Run) {
        self.sequence += 1;
        let id = self.sequence;
        let run = Run { run: id, resumed_ms: self.now, paused: false, ..run };
        self.running.insert(request, run);
        let at = self.now + run.remaining_ms;
        self.schedule(at, Event::Finish { server: run.server, request, run: id });
    }
}

/// Runs a trace under a policy.
pub(crate) fn run<P: Policy>(settings: Settings, arrivals: &[Arrival], policy: &mut P) -> Vec<Outcome> {
    let pending = Outcome { fate: Fate::Pending, started_ms: None, ended_ms: 0, attempts: 0 };
    let mut scene = Scene {
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
        scene.schedule(arrival.at_ms, Event::Arrive(i));
    }
    scene.schedule(0, Event::Report);
    if let Some(at) = settings.zone_loss_ms {
        scene.schedule(at, Event::ZoneLoss);
    }
    while let Some(Reverse((at, _, event))) = scene.events.pop() {
        scene.now = at;
        handle(&mut scene, policy, event);
    }
    scene.outcomes
}

/// The interval of load reports, in milliseconds.
const REPORT_MS: u64 = 500;

fn handle<P: Policy>(scene: &mut Scene<'_>, policy: &mut P, event: Event) {
    match event {
        Event::Arrive(request) => policy.arrive(scene, request),
        Event::Finish { server, request, run } => {
            if scene.running.get(&request).is_none_or(|current| current.run != run || current.paused) {
                return;
            }
            scene.running.remove(&request);
            scene.end(request, Fate::Answered);
            policy.finished(scene, server, request);
        }
        Event::Server { server } => {
            if scene.alive[server] {
                policy.server_event(scene, server);
            }
        }
        Event::Report => {
            policy.report(scene);
            if !scene.events.is_empty() {
                scene.schedule(scene.now + REPORT_MS, Event::Report);
            }
        }
        Event::ZoneLoss => lose_zone(scene, policy),
    }
}

fn lose_zone<P: Policy>(scene: &mut Scene<'_>, policy: &mut P) {
    let zones = scene.settings.zones;
    let dead: Vec<usize> = (0..scene.settings.servers).filter(|server| server % zones == zones - 1).collect();
    for &server in &dead {
        scene.alive[server] = false;
    }
    let mut in_flight: Vec<usize> = scene
        .running
        .iter()
        .filter(|(_, run)| dead.contains(&run.server))
        .map(|(&request, _)| request)
        .collect();
    in_flight.sort_unstable();
    for request in &in_flight {
        scene.running.remove(request);
    }
    policy.zone_lost(scene, &dead, &in_flight);
}
