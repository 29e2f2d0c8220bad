//! HTTP interface of the fake engine.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use trillium::{Body, Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

use super::{
    CrashMode, EngineSettings,
    group::{Permit, WeightsOrder},
    orders::Order,
    state::{EngineState, TokenStream},
    stream::new_stream,
};
use crate::{
    responses::TokenSequence,
    server::{json_response, problem_response, query_number, read_json, with_state},
};

/// The exit code of the process after a crash.
const CRASH_EXIT_CODE: i32 = 70;

/// A model engine with continuous batching, a prefix cache and, optionally, a group of ranks.
pub struct FakeEngine {
    state: Mutex<EngineState>,
    /// Wakes the step loop.
    wake: smol::channel::Sender<()>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateRequest {
    id: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    resume_text: String,
}

#[derive(Deserialize)]
struct KvImport {
    prompt: String,
}

impl FakeEngine {
    /// Starts a new engine and returns its HTTP handler.
    pub fn handler(settings: EngineSettings) -> impl Handler {
        let (tx, rx) = smol::channel::bounded(1);
        let engine = Arc::new(Self { state: Mutex::new(EngineState::new(settings)), wake: tx });
        async_global_executor::spawn(run_steps(engine.clone(), rx)).detach();
        Router::new()
            .post("/v1/generate", with_state(&engine, Self::generate))
            .post("/cancel/:id", with_state(&engine, Self::cancel))
            .post("/pause/:id", with_state(&engine, Self::pause))
            .post("/resume/:id", with_state(&engine, Self::resume))
            .get("/load", with_state(&engine, Self::get_load))
            .get("/cache-events", with_state(&engine, Self::get_cache_events))
            .post("/orders", with_state(&engine, Self::apply_order))
            .get("/orders", with_state(&engine, Self::get_orders))
            .get("/kv/:id", with_state(&engine, Self::export_kv))
            .put("/kv/:id", with_state(&engine, Self::import_kv))
            .post("/group/permit", with_state(&engine, Self::add_permit))
            .post("/group/weights", with_state(&engine, Self::load_weights))
            .get("/group/load", with_state(&engine, Self::get_group_load))
            .get("/group", with_state(&engine, Self::get_group))
            .get("/health", with_state(&engine, Self::get_health))
    }

    async fn generate(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let request = match read_json::<GenerateRequest>(&mut conn).await {
            Ok(request) => request,
            Err(error) => return problem_response(conn, Status::BadRequest, &error),
        };
        let tokens = TokenSequence::for_prompt(&request.prompt);
        if request.resume_from > request.max_tokens || request.resume_text != tokens.text(request.resume_from)
        {
            return problem_response(
                conn,
                Status::UnprocessableEntity,
                "resume_text must consist of the first resume_from tokens",
            );
        }
        let (sender, body) = new_stream();
        let stream = TokenStream {
            id: request.id,
            prompt: request.prompt,
            tokens,
            position: request.resume_from,
            max_tokens: request.max_tokens,
            priority: request.priority,
            paused: false,
            sender,
        };
        if !engine.submit(stream) {
            return problem_response(conn, Status::Conflict, "a stream with this id already exists");
        }
        conn.ok(Body::new_streaming(body, None))
            .with_response_header("content-type", "text/event-stream")
            .halt()
    }

    /// Queues a stream, or crashes the engine if the prompt contains the crash marker. Returns false if a stream with
    /// this id already exists.
    fn submit(&self, stream: TokenStream) -> bool {
        let mut state = self.state.lock();
        if stream.prompt.contains(&state.settings.crash_marker) {
            log::error!("fake engine: request {} triggers a crash", stream.id);
            if state.settings.crash == CrashMode::Exit {
                std::process::exit(CRASH_EXIT_CODE);
            }
            // Returning drops the stream that triggered the crash, which aborts it like all the others.
            state.crash();
            return true;
        }
        if state.contains(&stream.id) {
            return false;
        }
        state.submit(stream);
        // If the channel is full, the step loop is already about to wake up.
        let _ = self.wake.try_send(());
        true
    }

    async fn cancel(conn: Conn, engine: Arc<Self>) -> Conn {
        let token_count = engine.state.lock().cancel(conn.param("id").unwrap_or_default());
        match token_count {
            Some(token_count) => {
                json_response(conn, Status::Ok, &json!({ "cancelled": true, "total": token_count }))
            }
            None => problem_response(conn, Status::NotFound, "no stream with this id"),
        }
    }

    async fn pause(conn: Conn, engine: Arc<Self>) -> Conn {
        let found = engine.state.lock().set_paused(conn.param("id").unwrap_or_default(), true);
        found_response(conn, found)
    }

    async fn resume(conn: Conn, engine: Arc<Self>) -> Conn {
        let found = engine.state.lock().set_paused(conn.param("id").unwrap_or_default(), false);
        found_response(conn, found)
    }

    async fn get_load(conn: Conn, engine: Arc<Self>) -> Conn {
        let load = engine.state.lock().load_history.reported(Instant::now());
        json_response(conn, Status::Ok, &load)
    }

    async fn get_cache_events(conn: Conn, engine: Arc<Self>) -> Conn {
        let from = query_number(&conn, "from").unwrap_or(0);
        let page = {
            let state = engine.state.lock();
            let (events, next) = state.cache.events(from, Instant::now());
            json!({ "next": next, "events": events })
        };
        json_response(conn, Status::Ok, &page)
    }

    async fn apply_order(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let order = match read_json::<Order>(&mut conn).await {
            Ok(order) => order,
            Err(error) => return problem_response(conn, Status::BadRequest, &error),
        };
        let result = {
            let mut state = engine.state.lock();
            let fencing = state.settings.fencing;
            state.orders.apply(order, fencing)
        };
        match result {
            Ok(()) => json_response(conn, Status::Ok, &json!({ "accepted": true })),
            Err(highest) => {
                json_response(conn, Status::Conflict, &json!({ "accepted": false, "highest_fence": highest }))
            }
        }
    }

    async fn get_orders(conn: Conn, engine: Arc<Self>) -> Conn {
        let state = json!(engine.state.lock().orders);
        json_response(conn, Status::Ok, &state)
    }

    async fn export_kv(conn: Conn, engine: Arc<Self>) -> Conn {
        let id = conn.param("id").unwrap_or_default().to_owned();
        let exported = {
            let state = engine.state.lock();
            state.export(&id).map(|(prompt, tokens)| json!({ "prompt": prompt, "tokens": tokens }))
        };
        match exported {
            Some(kv) => json_response(conn, Status::Ok, &kv),
            None => problem_response(conn, Status::NotFound, "no stream with this id"),
        }
    }

    async fn import_kv(mut conn: Conn, engine: Arc<Self>) -> Conn {
        match read_json::<KvImport>(&mut conn).await {
            Ok(import) => {
                engine.state.lock().cache.store(&import.prompt, Instant::now());
                conn.with_status(Status::NoContent).halt()
            }
            Err(error) => problem_response(conn, Status::BadRequest, &error),
        }
    }

    async fn add_permit(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let permit = match read_json::<Permit>(&mut conn).await {
            Ok(permit) => permit,
            Err(error) => return problem_response(conn, Status::BadRequest, &error),
        };
        let result = engine.state.lock().group.add_permit(permit);
        let _ = engine.wake.try_send(());
        match result {
            Ok(()) => conn.with_status(Status::NoContent).halt(),
            Err(detail) => problem_response(conn, Status::Conflict, detail),
        }
    }

    /// Responds once the weights are loaded.
    async fn load_weights(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let order = match read_json::<WeightsOrder>(&mut conn).await {
            Ok(order) => order,
            Err(error) => return problem_response(conn, Status::BadRequest, &error),
        };
        let missing = {
            let state = engine.state.lock();
            state.group.count_missing_experts(&order).map(|missing| (missing, state.settings.weights_us))
        };
        let (missing, weights_us) = match missing {
            Ok(missing) => missing,
            Err(detail) => return problem_response(conn, Status::Conflict, detail),
        };
        smol::Timer::after(Duration::from_micros(weights_us * missing as u64)).await;
        engine.state.lock().group.record_loaded_weights(&order);
        json_response(conn, Status::Ok, &json!({ "map": order.map, "loaded": missing }))
    }

    async fn get_group_load(conn: Conn, engine: Arc<Self>) -> Conn {
        let load = engine.state.lock().group.load();
        json_response(conn, Status::Ok, &load)
    }

    async fn get_group(conn: Conn, engine: Arc<Self>) -> Conn {
        let state = json!(engine.state.lock().group);
        json_response(conn, Status::Ok, &state)
    }

    async fn get_health(conn: Conn, engine: Arc<Self>) -> Conn {
        let (steps, tokens) = engine.state.lock().totals();
        json_response(conn, Status::Ok, &json!({ "steps": steps, "tokens": tokens }))
    }
}

/// Runs steps, and waits while the engine is idle.
async fn run_steps(engine: Arc<FakeEngine>, wake: smol::channel::Receiver<()>) {
    let mut step_end = Instant::now();
    loop {
        if engine.state.lock().is_idle() {
            if wake.recv().await.is_err() {
                return;
            }
            step_end = Instant::now();
        }
        // The next step counts from the scheduled end of the last one, so that late timers do not slow the engine down.
        step_end += engine.state.lock().begin_step(step_end);
        smol::Timer::at(step_end).await;
        engine.state.lock().end_step();
    }
}

fn found_response(conn: Conn, found: bool) -> Conn {
    if found {
        return conn.with_status(Status::NoContent).halt();
    }
    problem_response(conn, Status::NotFound, "no stream with this id")
}
