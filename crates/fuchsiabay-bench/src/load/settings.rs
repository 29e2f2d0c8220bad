//! Settings of the load generator.

/// The target of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Entry instances, by their base URLs.
    Entries(Vec<String>),
    /// One engine and one plain service without a load balancer, which is the baseline of measurements.
    Direct {
        /// The base URL of the engine.
        engine: String,
        /// The base URL of the plain service.
        service: String,
    },
}

impl Target {
    /// Returns the number of addresses that a request can be sent to, which is at least 1.
    pub(crate) fn entry_count(&self) -> usize {
        match self {
            Self::Entries(urls) => urls.len().max(1),
            Self::Direct { .. } => 1,
        }
    }
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The seed of the arrival times, request kinds, lengths and keys.
    pub seed: u64,
    /// The duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// The mean number of requests per second.
    pub rate: f64,
    /// The target of the load.
    pub target: Target,
    /// The base URLs of the plain services that are queried for effect counts after the run.
    pub effect_sources: Vec<String>,
    /// The workspaces that requests are spread over.
    pub workspaces: Vec<String>,
    /// The model of chat completions.
    pub model: String,
    /// The percentage of look-ups.
    pub look_up_percent: u32,
    /// The percentage of keyed calls, which must run at most once. The remaining requests are chat completions.
    pub keyed_percent: u32,
    /// The percentage of keyed calls that are sent twice.
    pub duplicate_percent: u32,
    /// The maximum delay until a keyed call is sent again, in milliseconds.
    pub max_duplicate_delay_ms: u64,
    /// The percentage of chat completions that are streamed.
    pub stream_percent: u32,
    /// The percentage of chat completions that are long.
    pub long_percent: u32,
    /// The number of tokens of a short completion.
    pub short_tokens: u32,
    /// The number of tokens of a long completion.
    pub long_tokens: u32,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_ms: 10_000,
            rate: 50.0,
            target: Target::Entries(Vec::new()),
            effect_sources: Vec::new(),
            workspaces: vec!["default".to_owned()],
            model: "assistant".to_owned(),
            look_up_percent: 30,
            keyed_percent: 20,
            duplicate_percent: 50,
            max_duplicate_delay_ms: 1_000,
            stream_percent: 60,
            long_percent: 10,
            short_tokens: 32,
            long_tokens: 400,
            deadline_ms: 15_000,
        }
    }
}
