//! The header names of a deployment.

/// Names of the header fields by which callers, entry instances and backend servers understand each other.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Names one attempt of a caller. Servers echo it.
    pub request_id: &'static str,
    /// The milliseconds that the sender waits.
    pub deadline_ms: &'static str,
    /// Marks the response as a server's own, whole.
    pub stamp: &'static str,
    /// The workspace of the request, set by the entry instance.
    pub workspace: &'static str,
    /// The server that is meant. Any other one refuses the request.
    pub expected_server: &'static str,
    /// In a response: the server did not run the request.
    pub not_run: &'static str,
    /// In a response: running requests, waiting requests and slots.
    pub load: &'static str,
    /// In a response: the server at fault when the responding one depends on another.
    pub at_fault: &'static str,
    /// Prompt tokens and the largest number of output tokens.
    pub token_count: &'static str,
    /// The caller's estimate of the number of output tokens.
    pub length_hint: &'static str,
    /// The rank of the request at the engine.
    pub priority: &'static str,
}
