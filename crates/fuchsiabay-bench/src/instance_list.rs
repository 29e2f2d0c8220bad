//! Stand-in of the platform's lagging list of instances.

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

use crate::server::{body, json, problem, with};

/// The list of instances. A new list shows only after the lag.
pub struct FakeInstanceList {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    shown: Vec<Value>,
    pending: VecDeque<(Instant, Vec<Value>)>,
    down: bool,
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
    /// Returns the HTTP handler of an empty list whose changes show after `lag_ms`.
    pub fn handler(lag_ms: u64) -> impl Handler {
        let list = Arc::new(Self { lag: Duration::from_millis(lag_ms), state: Mutex::default() });
        Router::new()
            .get("/instances", with(&list, Self::show))
            .post("/instances", with(&list, Self::set))
            .post("/faults", with(&list, Self::set_faults))
    }

    async fn show(conn: Conn, list: Arc<Self>) -> Conn {
        let shown = {
            let mut state = list.state.lock();
            if state.down {
                return problem(conn, Status::ServiceUnavailable, "the list is out of service");
            }
            let now = Instant::now();
            while state.pending.front().is_some_and(|(at, _)| *at <= now) {
                state.shown = state.pending.pop_front().map(|(_, instances)| instances).unwrap_or_default();
            }
            json!({ "instances": state.shown })
        };
        let etag = format!("\"{:016x}\"", xxh3_64(shown.to_string().as_bytes()));
        if conn.request_headers().get_str(KnownHeaderName::IfNoneMatch) == Some(etag.as_str()) {
            return conn.with_status(Status::NotModified).halt();
        }
        json(conn.with_response_header(KnownHeaderName::Etag, etag), Status::Ok, &shown)
    }

    async fn set(mut conn: Conn, list: Arc<Self>) -> Conn {
        match body::<Instances>(&mut conn).await {
            Ok(request) => {
                list.state.lock().pending.push_back((Instant::now() + list.lag, request.instances));
                conn.with_status(Status::NoContent).halt()
            }
            Err(error) => problem(conn, Status::BadRequest, &error),
        }
    }

    async fn set_faults(mut conn: Conn, list: Arc<Self>) -> Conn {
        match body::<Faults>(&mut conn).await {
            Ok(faults) => {
                list.state.lock().down = faults.outage;
                conn.with_status(Status::NoContent).halt()
            }
            Err(error) => problem(conn, Status::BadRequest, &error),
        }
    }
}
