//! The event loop on virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use fastrand::Rng;
use fuchsiabay_base::Timestamp;
use fuchsiabay_wire::LoadReport;

use super::{
    balancer::Balancer,
    job::Job,
    server::{PlannedEnd, Server},
};

/// How often each server reports its load, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// How late reports arrive, in milliseconds.
const REPORT_LAG_MS: u64 = 200;
/// How often progress is reported to the scheduler, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;
/// One way between entry instance and server, in milliseconds. A refused try costs it twice.
const ONE_WAY_MS: u64 = 1;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended(usize, PlannedEnd),
    Tick(usize),
    Deadline(usize),
    Report(usize),
    Learn(usize, ReportAt),
    Arrival(usize),
    Try { job: usize, tried: Vec<usize> },
}

/// A report with the order that the queue of events needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportAt(LoadReport);

impl PartialOrd for ReportAt {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ReportAt {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0.queued, self.0.running).cmp(&(other.0.queued, other.0.running))
    }
}

/// Entry instances, servers and requests on virtual time.
pub(crate) struct Simulation<B> {
    entries: Vec<B>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    next_event: u64,
    rng: Rng,
    end: Timestamp,
    /// Whether the reply to a submission carries a load report, as the agent's does.
    replies_carry_load: bool,
}

impl<B: Balancer> Simulation<B> {
    /// Runs `jobs` until `end` and returns what became of them.
    pub(crate) fn run(
        seed: u64,
        entries: Vec<B>,
        servers: Vec<Server>,
        jobs: Vec<Job>,
        end: Timestamp,
        replies_carry_load: bool,
    ) -> Vec<Job> {
        let mut simulation = Self {
            entries,
            servers,
            jobs,
            events: BinaryHeap::new(),
            next_event: 0,
            rng: Rng::with_seed(seed),
            end,
            replies_carry_load,
        };
        simulation.plan_start();
        while let Some(Reverse((now, _, event))) = simulation.events.pop() {
            if now > end {
                break;
            }
            simulation.handle(now, event);
        }
        simulation.jobs
    }

    fn plan_start(&mut self) {
        for i in 0..self.jobs.len() {
            self.plan(self.jobs[i].arrival, Event::Arrival(i));
        }
        let servers = self.servers.len() as u64;
        for i in 0..self.servers.len() {
            // Servers report at different moments.
            self.plan(Timestamp::from_millis(REPORT_INTERVAL_MS * i as u64 / servers), Event::Report(i));
            self.plan(Timestamp::from_millis(TICK_INTERVAL_MS * i as u64 / servers), Event::Tick(i));
        }
    }

    fn plan(&mut self, at: Timestamp, event: Event) {
        if at <= self.end {
            self.events.push(Reverse((at, self.next_event, event)));
            self.next_event += 1;
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrival(job) => self.send(now, job, Vec::new()),
            Event::Try { job, tried } => self.submit(now, job, tried),
            Event::Ended(server, end) => {
                if self.servers[server].finish(now, end, &self.jobs[end.job]) {
                    self.jobs[end.job].finished = Some(now);
                    self.advance(now, server);
                }
            }
            Event::Tick(server) => {
                self.servers[server].tick(now, &self.jobs);
                self.advance(now, server);
                self.plan(now.plus_millis(TICK_INTERVAL_MS), Event::Tick(server));
            }
            Event::Deadline(server) => {
                self.servers[server].tick(now, &self.jobs);
                self.advance(now, server);
            }
            Event::Report(server) => {
                let report = ReportAt(self.servers[server].report(now));
                self.plan(now.plus_millis(REPORT_LAG_MS), Event::Learn(server, report));
                self.plan(now.plus_millis(REPORT_INTERVAL_MS), Event::Report(server));
            }
            Event::Learn(server, ReportAt(report)) => {
                self.entries.iter_mut().for_each(|entry| entry.learn(server, report, now));
            }
        }
    }

    fn send(&mut self, now: Timestamp, job: usize, mut tried: Vec<usize>) {
        let entry = &mut self.entries[self.jobs[job].entry];
        match entry.pick(&self.jobs[job], &tried, now, &mut self.rng) {
            Some(server) => {
                tried.push(server);
                self.plan(now.plus_millis(ONE_WAY_MS), Event::Try { job, tried });
            }
            None => self.jobs[job].refused = Some(now),
        }
    }

    fn submit(&mut self, now: Timestamp, job: usize, tried: Vec<usize>) {
        let Some(&server) = tried.last() else {
            return;
        };
        let admitted = self.servers[server].submit(now, job, &self.jobs[job]);
        self.advance(now, server);
        // The way back is left out of the report's age, which is one millisecond of two hundred.
        if self.replies_carry_load {
            let report = self.servers[server].report(now);
            self.entries[self.jobs[job].entry].learn(server, report, now);
        }
        if !admitted {
            self.send(now.plus_millis(ONE_WAY_MS), job, tried);
        }
    }

    fn advance(&mut self, now: Timestamp, server: usize) {
        for end in self.servers[server].advance(now, &mut self.jobs) {
            self.plan(end.at, Event::Ended(server, end));
        }
        // Deadlines within a tick interval are planned exactly; later ones are seen by a later tick.
        let deadline = self.servers[server].next_deadline();
        if let Some(at) = deadline.filter(|at| *at > now && at.millis_since(now) < TICK_INTERVAL_MS) {
            self.plan(at, Event::Deadline(server));
        }
    }
}
