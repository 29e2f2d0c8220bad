//! Fake of the platform's instance list, which shows changes with a delay.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_router::Router;
use xxhash_rust::xxh3::xxh3_64;

use crate::server::{json_response, problem_response, read_json, with_state};

/// An instance list. A list that is set becomes visible after the lag.
pub struct FakeInstanceList {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    visible: Vec<Value>,
    pending: VecDeque<(Instant, Vec<Value>)>,
    is_down: bool,
}

#[derive(Deserialize)]
struct Instances {
    instances: Vec<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    outage: bool,
}

impl FakeInstanceList {
    /// Returns the HTTP handler of an empty list whose changes become visible after `lag_ms`.
    pub fn handler(lag_ms: u64) -> impl Handler {
        let list = Arc::new(Self { lag: Duration::from_millis(lag_ms), state: Mutex::default() });
        Router::new()
            .get("/instances", with_state(&list, Self::get))
            .post("/instances", with_state(&list, Self::set))
            .post("/faults", with_state(&list, Self::set_faults))
    }

    async fn get(conn: Conn, list: Arc<Self>) -> Conn {
        let body = {
            let mut state = list.state.lock();
            if state.is_down {
                return problem_response(
                    conn,
                    Status::ServiceUnavailable,
                    "the instance list is unavailable",
                );
            }
            let now = Instant::now();
            while state.pending.front().is_some_and(|(at, _)| *at <= now) {
                state.visible = state.pending.pop_front().map(|(_, instances)| instances).unwrap_or_default();
            }
            json!({ "instances": state.visible })
        };
        let etag = format!("\"{:016x}\"", xxh3_64(body.to_string().as_bytes()));
        if conn.request_headers().get_str(KnownHeaderName::IfNoneMatch) == Some(etag.as_str()) {
            return conn.with_status(Status::NotModified).halt();
        }
        json_response(conn.with_response_header(KnownHeaderName::Etag, etag), Status::Ok, &body)
    }

    async fn set(mut conn: Conn, list: Arc<Self>) -> Conn {
        match read_json::<Instances>(&mut conn).await {
            Ok(request) => {
                list.state.lock().pending.push_back((Instant::now() + list.lag, request.instances));
                conn.with_status(Status::NoContent).halt()
            }
            Err(error) => problem_response(conn, Status::BadRequest, &error),
        }
    }

    async fn set_faults(mut conn: Conn, list: Arc<Self>) -> Conn {
        match read_json::<Faults>(&mut conn).await {
            Ok(faults) => {
                list.state.lock().is_down = faults.outage;
                conn.with_status(Status::NoContent).halt()
            }
            Err(error) => problem_response(conn, Status::BadRequest, &error),
        }
    }
}
