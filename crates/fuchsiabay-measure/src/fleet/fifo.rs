//! Baselines: a queue in arrival order at each server, and a simple choice of the server.

use std::collections::VecDeque;

use fastrand::Rng;

use super::{Event, Fate, Policy, Scene};

/// How a baseline chooses the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    RoundRobin,
    Random,
    /// The least loaded by the last report, which lags.
    LaggedLeastLoaded,
}

/// A baseline.
#[derive(Debug)]
pub(crate) struct Fifo {
    choice: Choice,
    rng: Rng,
    next: usize,
    queues: Vec<VecDeque<usize>>,
    running: Vec<u32>,
    reported: Vec<usize>,
}

impl Fifo {
    pub(crate) fn new(choice: Choice, servers: usize, seed: u64) -> Self {
        Self {
            choice,
            rng: Rng::with_seed(seed),
            next: 0,
            queues: vec![VecDeque::new(); servers],
            running: vec![0; servers],
            reported: vec![0; servers],
        }
    }

    fn choose(&mut self, alive: &[bool]) -> Option<usize> {
        let live: Vec<usize> = (0..alive.len()).filter(|&server| alive[server]).collect();
        if live.is_empty() {
            return None;
        }
        match self.choice {
            Choice::RoundRobin => {
                self.next += 1;
                Some(live[self.next % live.len()])
            }
            Choice::Random => Some(live[self.rng.usize(..live.len())]),
            Choice::LaggedLeastLoaded => {
                let least = live.iter().map(|&server| self.reported[server]).min()?;
                let ties: Vec<usize> =
                    live.into_iter().filter(|&server| self.reported[server] == least).collect();
                Some(ties[self.rng.usize(..ties.len())])
            }
        }
    }

    fn dispatch(&mut self, scene: &mut Scene<'_>, server: usize) {
        while self.running[server] < scene.settings.slots {
            let Some(request) = self.queues[server].pop_front() else {
                return;
            };
            // A caller that has given up is noticed before its work starts.
            if scene.arrivals[request].deadline_ms <= scene.now {
                scene.end(request, Fate::Lost);
                continue;
            }
            self.running[server] += 1;
            scene.start(server, request);
        }
    }
}

impl Policy for Fifo {
    fn arrive(&mut self, scene: &mut Scene<'_>, request: usize) {
        let Some(server) = self.choose(&scene.alive) else {
            return scene.end(request, Fate::Refused);
        };
        self.queues[server].push_back(request);
        self.dispatch(scene, server);
    }

    fn finished(&mut self, scene: &mut Scene<'_>, server: usize, _request: usize) {
        self.running[server] -= 1;
        self.dispatch(scene, server);
    }

    fn server_event(&mut self, _scene: &mut Scene<'_>, _server: usize) {}

    fn report(&mut self, scene: &mut Scene<'_>) {
        // Every second report is taken over, so that reports are up to a second old.
        if scene.now.is_multiple_of(1_000) {
            for (server, reported) in self.reported.iter_mut().enumerate() {
                *reported = self.queues[server].len() + self.running[server] as usize;
            }
        }
    }

    fn zone_lost(&mut self, scene: &mut Scene<'_>, servers: &[usize], in_flight: &[usize]) {
        let mut moved: Vec<usize> = in_flight.to_vec();
        for &server in servers {
            moved.extend(self.queues[server].drain(..));
            self.running[server] = 0;
        }
        // Callers and proxies without a budget send everything again at once.
        for request in moved {
            let now = scene.now;
            scene.schedule(now, Event::Arrive(request));
        }
    }
}
