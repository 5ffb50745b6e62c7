use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::peer::CallClass;

/// Most calls of a class that wait, and most bytes of them. A host starts some thousand calls a second, so more of
/// them would wait until their callers have given up.
const LIMIT_CALLS: usize = 1_024;
const LIMIT_BYTES: usize = 16 << 20;
/// Calls of each class that are started in one turn. The classes that go first get most of a turn, and the others are
/// never held up for good. A turn is short, because everything else in the process waits for its end, several times
/// for each call: with 32 calls a turn took some 20 ms of processor time of a debug build.
const TURN_CALLS: [usize; CallClass::COUNT] = [4, 1, 1];
/// Most calls of a class that are refused in one turn, so that a turn stays short.
const TURN_REFUSALS: usize = 16;
/// Time that the oldest call of a class may have waited for calls to be started in the order of their arrival.
const IN_ORDER_TIME: Duration = Duration::from_millis(50);
/// Part of a caller's time for which its call may wait. What is left suffices for an attempt elsewhere.
const WAIT_DIVISOR: u32 = 2;
/// Longest wait of a call whose caller does not say how much time it has: half of what hosts give a call.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// A call that waits to be started.
#[derive(Debug)]
pub struct WaitingCall<T> {
    /// The call, as its owner knows it.
    pub call: T,
    /// Size of the call.
    pub bytes: usize,
    /// When the call arrived.
    pub arrived: Instant,
    /// Time that its caller gave it at its arrival; `None` if unknown.
    pub time_left: Option<Duration>,
}

impl<T> WaitingCall<T> {
    /// When the caller gives the call up; `None` if unknown.
    pub fn expires_at(&self) -> Option<Instant> {
        Some(self.arrived + self.time_left?)
    }

    fn has_expired(&self, now: Instant) -> bool {
        self.expires_at().is_some_and(|expires_at| now >= expires_at)
    }

    fn has_waited_too_long(&self, now: Instant) -> bool {
        let limit = self.time_left.map_or(UNKNOWN_WAIT, |time_left| time_left / WAIT_DIVISOR);
        now >= self.arrived + limit
    }
}

/// What becomes of a call that waited.
#[derive(Debug)]
pub enum Decision<T> {
    /// The call is started.
    Start(WaitingCall<T>),
    /// The call is refused, while its caller has time left to do something else.
    Refuse(WaitingCall<T>),
    /// The caller has given the call up, so nothing is done.
    Drop(WaitingCall<T>),
}

/// Calls that have arrived and wait to be started.
///
/// A host that gets more calls than it can serve would, in the order of their arrival, start each call when its caller
/// is about to give up, and answer none in time. So once calls wait for long the newest one goes first, and the oldest
/// ones are refused early. Control calls are neither reordered nor refused for their wait.
#[derive(Debug)]
pub struct CallQueue<T> {
    classes: [Waiting<T>; CallClass::COUNT],
}

#[derive(Debug)]
struct Waiting<T> {
    calls: VecDeque<WaitingCall<T>>,
    bytes: usize,
}

impl<T> Default for CallQueue<T> {
    fn default() -> Self {
        let waiting = || Waiting { calls: VecDeque::new(), bytes: 0 };
        Self { classes: [waiting(), waiting(), waiting()] }
    }
}

impl<T> CallQueue<T> {
    /// Adds a call. Returns the calls that are refused because too many of their class wait: the oldest ones.
    pub fn push(&mut self, class: CallClass, call: WaitingCall<T>) -> Vec<WaitingCall<T>> {
        let waiting = &mut self.classes[class as usize];
        waiting.bytes += call.bytes;
        waiting.calls.push_back(call);
        let mut refused = Vec::new();
        while waiting.calls.len() > 1
            && (waiting.calls.len() > LIMIT_CALLS || waiting.bytes > LIMIT_BYTES)
        {
            refused.extend(waiting.take_oldest());
        }
        refused
    }

    /// True if no call waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|waiting| waiting.calls.is_empty())
    }

    /// Decides on the calls of one turn, in the order in which they are to be handled.
    pub fn next_turn(&mut self, now: Instant) -> Vec<(CallClass, Decision<T>)> {
        let mut turn = Vec::new();
        for class in CallClass::ALL {
            self.classes[class as usize].add_to_turn(class, now, &mut turn);
        }
        turn
    }
}

impl<T> Waiting<T> {
    fn add_to_turn(
        &mut self,
        class: CallClass,
        now: Instant,
        turn: &mut Vec<(CallClass, Decision<T>)>,
    ) {
        let is_late = |call: &WaitingCall<T>| {
            call.has_expired(now) || class != CallClass::Control && call.has_waited_too_long(now)
        };
        let mut ended = 0;
        while ended < TURN_REFUSALS && self.calls.front().is_some_and(is_late) {
            let Some(call) = self.take_oldest() else { break };
            turn.push((class, Self::end_of(call, now)));
            ended += 1;
        }
        let is_crowded = self
            .calls
            .front()
            .is_some_and(|oldest| now.saturating_duration_since(oldest.arrived) >= IN_ORDER_TIME);
        let newest_first = is_crowded && class != CallClass::Control;
        for _ in 0..TURN_CALLS[class as usize] {
            let call = if newest_first { self.take_newest() } else { self.take_oldest() };
            let Some(call) = call else { break };
            let decision = match is_late(&call) {
                true => Self::end_of(call, now),
                false => Decision::Start(call),
            };
            turn.push((class, decision));
        }
    }

    fn end_of(call: WaitingCall<T>, now: Instant) -> Decision<T> {
        match call.has_expired(now) {
            true => Decision::Drop(call),
            false => Decision::Refuse(call),
        }
    }

    fn take_oldest(&mut self) -> Option<WaitingCall<T>> {
        let call = self.calls.pop_front();
        self.bytes -= call.as_ref().map_or(0, |call| call.bytes);
        call
    }

    fn take_newest(&mut self) -> Option<WaitingCall<T>> {
        let call = self.calls.pop_back();
        self.bytes -= call.as_ref().map_or(0, |call| call.bytes);
        call
    }
}
