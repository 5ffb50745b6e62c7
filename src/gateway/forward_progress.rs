use std::time::Duration;

/// What is known of a request while it is passed on.
pub(super) struct Progress {
    /// Upstreams that it was sent to.
    pub(super) tried: Vec<String>,
    /// Upstreams that may have run it.
    pub(super) runs: u32,
    /// Sends, whether or not it ran.
    pub(super) sends: u32,
    /// Last event that the caller has.
    pub(super) last_event_id: Option<u64>,
    /// The head of the answer went out.
    pub(super) started: bool,
    /// All that went out are whole events with ids, so that another upstream can go on after them.
    pub(super) has_places: bool,
    /// Time from the arrival of the request to its first event.
    pub(super) first_event: Option<Duration>,
    /// Why the last send failed.
    pub(super) last_error: String,
}

impl Progress {
    /// Nothing was sent yet; the caller has the events up to this one.
    pub(super) fn new(last_event_id: Option<u64>) -> Self {
        Self {
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            last_event_id,
            started: false,
            has_places: true,
            first_event: None,
            last_error: String::new(),
        }
    }

    /// True if another upstream may take over now.
    pub(super) fn may_go_on(&self) -> bool {
        !self.started || self.has_places
    }
}
