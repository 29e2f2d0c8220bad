//! Sends the requests of a plan and collects the report.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use trillium_client::Client;

use super::{LoadSettings, Plan, Report, client::LoadClient};
use crate::clock::unix_ms;

/// The time between the generation of the plan and the start of the run.
const START_DELAY: Duration = Duration::from_millis(50);

/// Generates the load that `settings` describes and returns a report.
///
/// The load is open-loop: a slow response does not delay later requests. Latencies are measured from the planned
/// arrival, so that they include the time for which a stall of the target delays requests (no coordinated omission).
pub async fn run_load(settings: LoadSettings) -> Result<Report, String> {
    let plan = Plan::new(&settings);
    let client = Arc::new(LoadClient::new(settings, unix_ms()));
    let start = Instant::now() + START_DELAY;
    let mut tasks = Vec::with_capacity(plan.requests.len());
    for request in plan.requests {
        let arrival = start + Duration::from_micros(request.at_us);
        smol::Timer::at(arrival).await;
        let client = client.clone();
        tasks.push(async_global_executor::spawn(async move {
            let observation = client.send(&request, arrival).await;
            let key = client.idempotency_key(&request);
            (request, key, observation)
        }));
    }
    let mut report = Report::default();
    for task in tasks {
        let (request, key, observation) = task.await;
        report.add(&request, key, observation);
    }
    let effects = fetch_effects(&client.settings().effect_sources).await?;
    report.add_effects(&effects);
    Ok(report)
}

async fn fetch_effects(services: &[String]) -> Result<HashMap<String, u64>, String> {
    #[derive(serde::Deserialize)]
    struct Effects {
        effects: HashMap<String, u64>,
    }
    let client = Client::new(trillium_smol::ClientConfig::new());
    let mut counts = HashMap::new();
    for service in services {
        let url = format!("{service}/effects");
        let mut conn = client.get(url.as_str()).await.map_err(|error| format!("{url}: {error}"))?;
        let body = conn.response_body().read_string().await.map_err(|error| format!("{url}: {error}"))?;
        let effects: Effects = serde_json::from_str(&body).map_err(|error| format!("{url}: {error}"))?;
        for (key, count) in effects.effects {
            *counts.entry(key).or_insert(0) += count;
        }
    }
    Ok(counts)
}
