//! Settings of the load generator.

/// Where requests go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// To entry instances, by their URLs.
    Entries(Vec<String>),
    /// To one engine and one plain service without a balancer between: the baseline of measurements.
    Direct {
        /// The URL of the engine.
        engine: String,
        /// The URL of the plain service.
        service: String,
    },
}

impl Target {
    /// Returns how many entry instances there are to choose from.
    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Entries(urls) => urls.len().max(1),
            Self::Direct { .. } => 1,
        }
    }
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Determines arrivals, kinds, lengths and keys.
    pub seed: u64,
    /// How long requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Requests that arrive per second.
    pub rate: f64,
    /// Where requests go.
    pub target: Target,
    /// The URLs of all plain services, whose effects are counted at the end.
    pub effect_sources: Vec<String>,
    /// The workspaces that requests are spread over.
    pub workspaces: Vec<String>,
    /// The model of chat completions.
    pub model: String,
    /// The share of look-ups, in percent.
    pub look_up_percent: u32,
    /// The share of calls that must run at most once, in percent. The rest are chat completions.
    pub keyed_percent: u32,
    /// The share of keyed calls that are sent twice, in percent.
    pub duplicate_percent: u32,
    /// The longest time until a keyed call is sent again, in milliseconds.
    pub max_duplicate_delay_ms: u64,
    /// The share of chat completions that stream, in percent.
    pub stream_percent: u32,
    /// The share of chat completions that are long, in percent.
    pub long_percent: u32,
    /// The tokens of a short answer.
    pub short_tokens: u32,
    /// The tokens of a long answer.
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
