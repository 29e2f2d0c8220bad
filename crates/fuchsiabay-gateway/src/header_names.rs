//! The header names of a deployment.

/// Names of the header fields that callers, entry instances and backend servers exchange.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller. Servers echo it.
    pub request_id: &'static str,
    /// How long the sender waits for the response, in milliseconds.
    pub deadline_ms: &'static str,
    /// In a response: marks it as a complete response that the server itself generated.
    pub stamp: &'static str,
    /// Workspace of the request, set by the entry instance.
    pub workspace: &'static str,
    /// Server that the request is addressed to. Any other server refuses it.
    pub expected_server: &'static str,
    /// In a response: the server did not run the request.
    pub not_run: &'static str,
    /// In a response: the number of running requests, waiting requests and slots.
    pub load: &'static str,
    /// In a response: the number of requests a second that the server accepts from all callers together, for as long as its
    /// responses state it.
    pub limit: &'static str,
    /// In a response: the server is leaving if the value is 1.
    pub leaving: &'static str,
    /// In a response: the server that failed, if it is another one that the responding server depends on.
    pub at_fault: &'static str,
    /// The model that the request is for.
    pub model: &'static str,
    /// Number of prompt tokens and maximum number of output tokens.
    pub token_count: &'static str,
    /// The parts of the prompt, in order, as `ID:TOKENS` separated by commas. The last one belongs to the request or to its
    /// session, the others are shared.
    pub prompt_parts: &'static str,
    /// Caller's estimate of the number of output tokens.
    pub length_hint: &'static str,
    /// Priority of the request at the engine.
    pub priority: &'static str,
}

impl HeaderNames {
    /// Returns whether a server states that it is leaving. `get` returns the value of a header field of its response.
    pub fn states_leaving<'a>(&self, get: impl Fn(&'static str) -> Option<&'a str>) -> bool {
        get(self.leaving).is_some_and(|value| value.trim() == "1")
    }
}
