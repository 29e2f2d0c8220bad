//! Fake of the platform's append-only log.

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
    server::{abort_response, json_response, problem_response, query_number, read_json, with_state},
};

/// The maximum number of records in one read.
const MAX_RECORDS_PER_READ: u64 = 10_000;
/// How often a hanging request checks whether the fault has been cleared.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of [`FakeLog`].
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// The maximum number of appends per second, over all streams.
    pub appends_per_second: u32,
    /// The maximum number of records that a stream retains.
    pub retention_records: usize,
    /// How long records are retained, in milliseconds.
    pub retention_ms: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { appends_per_second: 400, retention_records: 100_000, retention_ms: 3_600_000 }
    }
}

/// Injected faults, set by `POST /faults`. A fault whose field is omitted is cleared.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Rejects every request with 503, without effect.
    pub outage: bool,
    /// Keeps every request waiting until the fault is cleared, then rejects it with 503, without effect.
    pub hang: bool,
    /// The delay before every append and read, in milliseconds.
    pub delay_ms: u64,
    /// The number of upcoming appends that take effect but whose response is lost.
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
    first_offset: u64,
    records: VecDeque<Record>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, records: Vec<Value>, at_ms: u64) -> Vec<u64> {
        let start = self.next_offset();
        let offsets: Vec<u64> = (start..start + records.len() as u64).collect();
        self.records.extend(records.into_iter().zip(&offsets).map(|(data, &offset)| Record {
            offset,
            at_ms,
            data,
        }));
        offsets
    }

    fn apply_retention(&mut self, settings: &LogSettings, now_ms: u64) {
        let oldest_kept_ms = now_ms.saturating_sub(settings.retention_ms);
        while self.records.len() > settings.retention_records
            || self.records.front().is_some_and(|record| record.at_ms < oldest_kept_ms)
        {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    faults: LogFaults,
    /// The second since the Unix epoch that `appends_in_second` refers to.
    second: u64,
    appends_in_second: u32,
}

/// An append-only log. The offsets of each stream are contiguous and start at 0.
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
            .post("/streams/:name/records", with_state(&log, Self::append))
            .get("/streams/:name/records", with_state(&log, Self::read))
            .post("/faults", with_state(&log, Self::set_faults))
            .get("/faults", with_state(&log, Self::get_faults))
    }

    async fn append(mut conn: Conn, log: Arc<Self>) -> Conn {
        if log.apply_request_faults().await {
            return problem_response(conn, Status::ServiceUnavailable, "the log is unavailable");
        }
        let Some(name) = conn.param("name").map(str::to_owned) else {
            return problem_response(conn, Status::NotFound, "the stream name is missing");
        };
        let request = match read_json::<AppendRequest>(&mut conn).await {
            Ok(request) => request,
            Err(error) => return problem_response(conn, Status::BadRequest, &error),
        };
        match log.try_append(&name, request.records) {
            None => problem_response(conn, Status::TooManyRequests, "append rate limit exceeded")
                .with_response_header("retry-after", "1"),
            Some((_, true)) => abort_response(conn),
            Some((offsets, false)) => json_response(conn, Status::Ok, &json!({ "offsets": offsets })),
        }
    }

    async fn read(conn: Conn, log: Arc<Self>) -> Conn {
        if log.apply_request_faults().await {
            return problem_response(conn, Status::ServiceUnavailable, "the log is unavailable");
        }
        let Some(name) = conn.param("name") else {
            return problem_response(conn, Status::NotFound, "the stream name is missing");
        };
        let from = query_number(&conn, "from").unwrap_or(0);
        let max = query_number(&conn, "max").unwrap_or(MAX_RECORDS_PER_READ).min(MAX_RECORDS_PER_READ);
        let page = log.read_page(name, from, max);
        json_response(conn, Status::Ok, &page)
    }

    async fn set_faults(mut conn: Conn, log: Arc<Self>) -> Conn {
        match read_json::<LogFaults>(&mut conn).await {
            Ok(faults) => {
                log.state.lock().faults = faults;
                json_response(conn, Status::Ok, &faults)
            }
            Err(error) => problem_response(conn, Status::BadRequest, &error),
        }
    }

    async fn get_faults(conn: Conn, log: Arc<Self>) -> Conn {
        let faults = log.state.lock().faults;
        json_response(conn, Status::Ok, &faults)
    }

    /// Applies the faults that act before the request takes effect. Returns whether the request must be rejected.
    async fn apply_request_faults(&self) -> bool {
        let delay_ms = self.state.lock().faults.delay_ms;
        if delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let mut was_hanging = false;
        while self.state.lock().faults.hang {
            was_hanging = true;
            smol::Timer::after(HANG_POLL_INTERVAL).await;
        }
        was_hanging || self.state.lock().faults.outage
    }

    /// Appends the records and returns their offsets and whether the response is lost, or `None` if the rate limit is
    /// exceeded.
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
        let loses_response = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offsets = stream.append(records, now_ms);
        stream.apply_retention(&self.settings, now_ms);
        Some((offsets, loses_response))
    }

    fn read_page(&self, name: &str, from: u64, max: u64) -> Value {
        let mut state = self.state.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.apply_retention(&self.settings, unix_ms());
        let skip = from.saturating_sub(stream.first_offset);
        let records: Vec<&Record> = stream.records.iter().skip(skip as usize).take(max as usize).collect();
        json!({ "first": stream.first_offset, "next": stream.next_offset(), "records": records })
    }
}
