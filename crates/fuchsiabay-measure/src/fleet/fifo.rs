//! Baseline policies: a FIFO queue at each server, and a simple choice of the server.

use std::collections::VecDeque;

use fastrand::Rng;

use super::{Event, Policy, RequestStatus, Simulation};

/// How a baseline chooses the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerChoice {
    RoundRobin,
    Random,
    /// The server with the least load by the last report, which is up to one second old.
    LaggedLeastLoaded,
}

/// A baseline policy.
#[derive(Debug)]
pub(crate) struct FifoPolicy {
    choice: ServerChoice,
    rng: Rng,
    round_robin_position: usize,
    queues: Vec<VecDeque<usize>>,
    running: Vec<u32>,
    /// The requests that each server held at the last report, queued and running.
    reported_load: Vec<usize>,
}

impl FifoPolicy {
    pub(crate) fn new(choice: ServerChoice, servers: usize, seed: u64) -> Self {
        Self {
            choice,
            rng: Rng::with_seed(seed),
            round_robin_position: 0,
            queues: vec![VecDeque::new(); servers],
            running: vec![0; servers],
            reported_load: vec![0; servers],
        }
    }

    fn choose_server(&mut self, alive: &[bool]) -> Option<usize> {
        let live: Vec<usize> = (0..alive.len()).filter(|&server| alive[server]).collect();
        if live.is_empty() {
            return None;
        }
        match self.choice {
            ServerChoice::RoundRobin => {
                self.round_robin_position += 1;
                Some(live[self.round_robin_position % live.len()])
            }
            ServerChoice::Random => Some(live[self.rng.usize(..live.len())]),
            ServerChoice::LaggedLeastLoaded => {
                let least = live.iter().map(|&server| self.reported_load[server]).min()?;
                let ties: Vec<usize> =
                    live.into_iter().filter(|&server| self.reported_load[server] == least).collect();
                Some(ties[self.rng.usize(..ties.len())])
            }
        }
    }

    fn start_queued(&mut self, simulation: &mut Simulation<'_>, server: usize) {
        while self.running[server] < simulation.settings.slots {
            let Some(request) = self.queues[server].pop_front() else {
                return;
            };
            // A request whose caller has already given up is not started.
            if simulation.arrivals[request].deadline_ms <= simulation.now {
                simulation.end(request, RequestStatus::Lost);
                continue;
            }
            self.running[server] += 1;
            simulation.start(server, request);
        }
    }
}

impl Policy for FifoPolicy {
    fn on_arrival(&mut self, simulation: &mut Simulation<'_>, request: usize) {
        let Some(server) = self.choose_server(&simulation.alive) else {
            return simulation.end(request, RequestStatus::Refused);
        };
        self.queues[server].push_back(request);
        self.start_queued(simulation, server);
    }

    fn on_finished(&mut self, simulation: &mut Simulation<'_>, server: usize, _request: usize) {
        self.running[server] -= 1;
        self.start_queued(simulation, server);
    }

    fn on_wakeup(&mut self, _simulation: &mut Simulation<'_>, _server: usize) {}

    fn on_report(&mut self, simulation: &mut Simulation<'_>) {
        // Every other report is ignored, so that the load in use is up to one second old.
        if simulation.now.is_multiple_of(1_000) {
            for (server, reported_load) in self.reported_load.iter_mut().enumerate() {
                *reported_load = self.queues[server].len() + self.running[server] as usize;
            }
        }
    }

    fn on_zone_loss(&mut self, simulation: &mut Simulation<'_>, servers: &[usize], in_flight: &[usize]) {
        let mut lost: Vec<usize> = in_flight.to_vec();
        for &server in servers {
            lost.extend(self.queues[server].drain(..));
            self.running[server] = 0;
        }
        // Without a retry budget, callers and proxies retry all lost requests at once.
        for request in lost {
            let now = simulation.now;
            simulation.schedule(now, Event::Arrive(request));
        }
    }
}
