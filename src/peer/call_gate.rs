use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use futures::channel::oneshot;

use crate::peer::call_window::{CallEnd, CallWindow};
use crate::peer::CallError;

/// Most calls that wait for a place.
const WAITING_LIMIT: usize = 1_024;
/// Part of the time of a call for which it may wait for a place. What is left suffices for the call, and hosts give one
/// attempt no more than half of what their own caller waits.
const WAIT_PART: f64 = 0.75;

/// Lets as many calls to a peer through as its [`CallWindow`] allows. The others wait; the newest one goes first, as the
/// oldest ones have the least time left.
#[derive(Default)]
pub(super) struct CallGate {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    window: CallWindow,
    waiting: Vec<Waiting>,
    next_id: u64,
}

struct Waiting {
    id: u64,
    place: oneshot::Sender<Place>,
}

/// The place of a call in flight, given back when it is dropped.
pub(super) struct Place {
    gate: Arc<CallGate>,
    begun: Instant,
}

impl CallGate {
    /// Waits for a place, for a part of `time_left`.
    ///
    /// # Errors
    /// [`CallError::Overloaded`] if there is none in that time.
    pub(super) async fn enter(self: &Arc<Self>, time_left: Duration) -> Result<Place, CallError> {
        let (id, receiver) = {
            let mut state = self.lock();
            if state.waiting.is_empty() && state.window.begin() {
                return Ok(Place::new(self.clone()));
            }
            let (place, receiver) = oneshot::channel();
            state.next_id += 1;
            let id = state.next_id;
            if state.waiting.len() >= WAITING_LIMIT {
                state.waiting.remove(0);
            }
            state.waiting.push(Waiting { id, place });
            (id, receiver)
        };
        let _guard = WaitingGuard { gate: self, id };
        let entered = timeout(time_left.mul_f64(WAIT_PART), receiver).await;
        entered.ok().and_then(Result::ok).ok_or(CallError::Overloaded)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a place back and lets calls in that wait.
    fn release(self: &Arc<Self>) {
        self.lock().window.release();
        loop {
            let mut state = self.lock();
            if state.waiting.is_empty() || !state.window.begin() {
                return;
            }
            let waiting = state.waiting.pop();
            drop(state);
            let place = Place::new(self.clone());
            let Some(waiting) = waiting else { return };
            // A call that was given up meanwhile gives the place back here.
            let _ = waiting.place.send(place);
        }
    }
}

impl Place {
    fn new(gate: Arc<CallGate>) -> Self {
        Self { gate, begun: Instant::now() }
    }

    /// Time since the call began.
    pub(super) fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Takes note of the end of the call. The place stays taken for as long as the peer is to be left alone.
    pub(super) fn end(self, end: CallEnd) {
        let pause = self.gate.lock().window.record(end, self.begun, Instant::now());
        if pause.is_zero() {
            return;
        }
        // Callers that were refused together must not come back together.
        let pause = pause.mul_f64(rand::random_range(0.5..1.5));
        task::spawn(async move {
            task::sleep(pause).await;
            drop(self);
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.release();
    }
}

/// Removes a call from those that wait once it does so no more.
struct WaitingGuard<'a> {
    gate: &'a CallGate,
    id: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        let Ok(index) = state.waiting.binary_search_by_key(&self.id, |waiting| waiting.id) else {
            return;
        };
        let removed = state.waiting.remove(index);
        drop(state);
        drop(removed);
    }
}
