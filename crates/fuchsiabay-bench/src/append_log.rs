//! Stand-in of the platform's append-only log.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

use crate::{
    clock::unix_ms,
    server::{abort, body, json, problem, query, with},
};

/// Records that one read returns at most.
const MAX_RECORDS_PER_READ: u64 = 10_000;
/// How often a request that hangs looks whether the fault is over.
const HANG_POLL: Duration = Duration::from_millis(20);

/// Settings of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Appends per second over all streams.
    pub appends_per_second: u32,
    /// Records of one stream that are kept.
    pub retention_records: usize,
    /// How long records are kept, in milliseconds.
    pub retention_ms: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { appends_per_second: 400, retention_records: 100_000, retention_ms: 3_600_000 }
    }
}

/// Faults, switched by `POST /faults`. Fields that are left out are off.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuses every request with 503, without effect.
    pub outage: bool,
    /// Leaves every request unanswered, without effect, until the fault is over.
    pub hang: bool,
    /// Delays every answer, in milliseconds.
    pub delay_ms: u64,
    /// The number of appends to come that take effect but whose answer is lost.
    pub lose_answers: u32,
}

#[derive(Clone)]
#[derive(Serialize)]
struct Record {
    offset: u64,
    at_ms: u64,
    data: Value,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Record>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, records: Vec<Value>, at_ms: u64) -> Vec<u64> {
        let start = self.next();
        let offsets: Vec<u64> = (start..start + records.len() as u64).collect();
        self.records.extend(records.into_iter().zip(&offsets).map(|(data, &offset)| Record {
            offset,
            at_ms,
            data,
        }));
        offsets
    }

    fn retain(&mut self, settings: &LogSettings, now_ms: u64) {
        let keep_from = now_ms.saturating_sub(settings.retention_ms);
        while self.records.len() > settings.retention_records
            || self.records.front().is_some_and(|record| record.at_ms < keep_from)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    faults: LogFaults,
    second: u64,
    appends_in_second: u32,
}

/// The append-only log. Offsets are dense per stream and start at 0.
pub struct FakeLog {
    settings: LogSettings,
    state: Mutex<State>,
}

#[derive(Deserialize)]
struct AppendRequest {
    records: Vec<Value>,
}

impl FakeLog {
    /// Returns the HTTP handler of a new log.
    pub fn handler(settings: LogSettings) -> impl Handler {
        let log = Arc::new(Self { settings, state: Mutex::default() });
        Router::new()
            .post("/streams/:name/records", with(&log, Self::append))
            .get("/streams/:name/records", with(&log, Self::read))
            .post("/faults", with(&log, Self::set_faults))
            .get("/faults", with(&log, Self::faults))
    }

    async fn append(mut conn: Conn, log: Arc<Self>) -> Conn {
        if log.fault_before().await {
            return problem(conn, Status::ServiceUnavailable, "the log is out of service");
        }
        let Some(name) = conn.param("name").map(str::to_owned) else {
            return problem(conn, Status::NotFound, "no stream is named");
        };
        let request = match body::<AppendRequest>(&mut conn).await {
            Ok(request) => request,
            Err(error) => return problem(conn, Status::BadRequest, &error),
        };
        match log.try_append(&name, request.records) {
            None => problem(conn, Status::TooManyRequests, "the limit of appends per second is reached")
                .with_response_header("retry-after", "1"),
            Some((_, true)) => abort(conn),
            Some((offsets, false)) => json(conn, Status::Ok, &json!({ "offsets": offsets })),
        }
    }

    async fn read(conn: Conn, log: Arc<Self>) -> Conn {
        if log.fault_before().await {
            return problem(conn, Status::ServiceUnavailable, "the log is out of service");
        }
        let Some(name) = conn.param("name") else {
            return problem(conn, Status::NotFound, "no stream is named");
        };
        let from = query(&conn, "from").unwrap_or(0);
        let max = query(&conn, "max").unwrap_or(MAX_RECORDS_PER_READ).min(MAX_RECORDS_PER_READ);
        let page = log.page(name, from, max);
        json(conn, Status::Ok, &page)
    }

    async fn set_faults(mut conn: Conn, log: Arc<Self>) -> Conn {
        match body::<LogFaults>(&mut conn).await {
            Ok(faults) => {
                log.state.lock().faults = faults;
                json(conn, Status::Ok, &faults)
            }
            Err(error) => problem(conn, Status::BadRequest, &error),
        }
    }

    async fn faults(conn: Conn, log: Arc<Self>) -> Conn {
        let faults = log.state.lock().faults;
        json(conn, Status::Ok, &faults)
    }

    /// Applies faults that come before the effect. Returns whether the request is refused.
    async fn fault_before(&self) -> bool {
        let delay_ms = self.state.lock().faults.delay_ms;
        if delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let mut hung = false;
        while self.state.lock().faults.hang {
            hung = true;
            smol::Timer::after(HANG_POLL).await;
        }
        hung || self.state.lock().faults.outage
    }

    /// Appends and returns the offsets and whether the answer is lost, or `None` above the rate limit.
    fn try_append(&self, name: &str, records: Vec<Value>) -> Option<(Vec<u64>, bool)> {
        let now_ms = unix_ms();
        let mut state = self.state.lock();
        if state.second != now_ms / 1000 {
            state.second = now_ms / 1000;
            state.appends_in_second = 0;
        }
        if state.appends_in_second >= self.settings.appends_per_second {
            return None;
        }
        state.appends_in_second += 1;
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offsets = stream.append(records, now_ms);
        stream.retain(&self.settings, now_ms);
        Some((offsets, lost))
    }

    fn page(&self, name: &str, from: u64, max: u64) -> Value {
        let mut state = self.state.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.retain(&self.settings, unix_ms());
        let skip = from.saturating_sub(stream.first);
        let records: Vec<&Record> = stream.records.iter().skip(skip as usize).take(max as usize).collect();
        json!({ "first": stream.first, "next": stream.next(), "records": records })
    }
}
