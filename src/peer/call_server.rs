use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::task;
use prost::Message;

use crate::peer::call_queue::{CallQueue, Decision, WaitingCall};
use crate::peer::outgoing_frame::OutgoingFrame;
use crate::peer::{CallClass, PeerHandler, PeerTraffic};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{reply, Call, CallFailure, FailureKind, Frame, Reply};

/// Size that a call counts for whose own size does not matter: reads and reports are small.
const SMALL_CALL_BYTES: usize = 256;
/// Time left below which a read is cut off by a timer. Reads end by themselves within that time otherwise.
const MAX_CUT_OFF: Duration = Duration::from_millis(500);

/// Starts the calls that arrive on all connections of a process, in the order that [`CallQueue`] decides.
///
/// The executor runs tasks in the order in which they become ready. Only as many calls are started in one of its rounds
/// as make up a turn, so that the calls beyond wait in the queue, where they can be passed over, and a round stays short
/// for everything else in the process.
pub(super) struct CallServer {
    handler: Arc<dyn PeerHandler>,
    traffic: Arc<PeerTraffic>,
    waiting: Mutex<Waiting>,
}

#[derive(Default)]
struct Waiting {
    queue: CallQueue<ArrivedCall>,
    /// A task takes calls from the queue.
    is_served: bool,
}

/// A call, and where its reply goes.
pub(super) struct ArrivedCall {
    pub(super) call_id: u64,
    pub(super) call: Call,
    pub(super) from: Arc<str>,
    pub(super) replies: Sender<Box<OutgoingFrame>>,
}

impl CallServer {
    pub(super) fn new(handler: Arc<dyn PeerHandler>, traffic: Arc<PeerTraffic>) -> Self {
        Self { handler, traffic, waiting: Mutex::default() }
    }

    /// Handles a one-way message in place.
    pub(super) fn handle_message(&self, from: &str, message: Body) {
        self.handler.handle_message(from, message);
    }

    /// Takes a call that has just arrived.
    pub(super) fn accept(self: &Arc<Self>, call: ArrivedCall) {
        let class = CallClass::of(&call.call);
        let time_left_ms = call.call.time_left_ms;
        let waiting_call = WaitingCall {
            bytes: size_bytes(class, &call.call),
            arrived: Instant::now(),
            time_left: (time_left_ms > 0).then(|| Duration::from_millis(time_left_ms.into())),
            call,
        };
        let mut waiting = self.lock();
        let refused = waiting.queue.push(class, waiting_call);
        let is_served = std::mem::replace(&mut waiting.is_served, true);
        drop(waiting);
        for call in refused {
            self.refuse(class, call);
        }
        if !is_served {
            task::spawn(self.clone().serve());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts calls until none waits. The last one is handled by this task itself, which makes a call that comes alone
    /// no dearer than a task of its own would.
    async fn serve(self: Arc<Self>) {
        loop {
            let now = Instant::now();
            let (turn, is_last) = {
                let mut waiting = self.lock();
                let turn = waiting.queue.next_turn(now);
                let is_last = waiting.queue.is_empty();
                waiting.is_served = !is_last;
                (turn, is_last)
            };
            let mut last = None;
            for (class, decision) in turn {
                match decision {
                    Decision::Start(call) => {
                        let waited = now.saturating_duration_since(call.arrived);
                        self.traffic.calls().record_start(class, waited);
                        if let Some((class, call)) = last.replace((class, call)) {
                            task::spawn(self.clone().handle(class, call));
                        }
                    }
                    Decision::Refuse(call) => self.refuse(class, call),
                    Decision::Drop(call) => {
                        self.traffic.calls().count_expired(class);
                        show_life(&call.call.replies);
                    }
                }
            }
            if is_last {
                if let Some((class, call)) = last {
                    self.handle(class, call).await;
                }
                return;
            }
            if let Some((class, call)) = last {
                task::spawn(self.clone().handle(class, call));
            }
            task::yield_now().await;
        }
    }

    async fn handle(self: Arc<Self>, class: CallClass, call: WaitingCall<ArrivedCall>) {
        let (expires_at, started) = (call.expires_at(), Instant::now());
        let ArrivedCall { call_id, call, from, replies } = call.call;
        let handling = self.handler.handle_call(&from, call);
        let left = expires_at.map(|expires_at| expires_at.saturating_duration_since(started));
        // A read can be cut off anywhere; a command must not be, as what follows its commit would be left out.
        let reply = match left.filter(|left| class == CallClass::Read && *left < MAX_CUT_OFF) {
            Some(left) => timeout(left, handling).await.ok(),
            None => Some(handling.await),
        };
        let now = Instant::now();
        let is_late = expires_at.is_some_and(|expires_at| now >= expires_at);
        self.traffic.calls().record_end(class, now - started, is_late);
        let Some(reply) = reply.filter(|_| !is_late) else { return show_life(&replies) };
        let frame = Frame { call_id, body: Some(Body::Reply(reply)) };
        let _ = replies.send(Box::new(OutgoingFrame::new(frame, expires_at))).await;
    }

    fn refuse(&self, class: CallClass, call: WaitingCall<ArrivedCall>) {
        self.traffic.calls().count_refused(class);
        let expires_at = call.expires_at();
        let ArrivedCall { call_id, replies, .. } = call.call;
        let failure = CallFailure {
            kind: FailureKind::Overloaded.into(),
            message: "not started: too many calls wait".to_owned(),
            ..CallFailure::default()
        };
        let reply = Reply { reply: Some(reply::Reply::Failure(failure)) };
        let frame = Frame { call_id, body: Some(Body::Reply(reply)) };
        // A peer that does not read its replies gets none, as it would be told nothing in time.
        let _ = replies.try_send(Box::new(OutgoingFrame::new(frame, expires_at)));
    }
}

/// Sends an empty frame in place of a reply that comes too late. A caller that gets nothing at all takes the connection
/// for broken and opens another one, which costs both sides more than the call.
fn show_life(replies: &Sender<Box<OutgoingFrame>>) {
    let _ = replies.try_send(Box::new(OutgoingFrame::new(Frame::default(), None)));
}

fn size_bytes(class: CallClass, call: &Call) -> usize {
    match class {
        CallClass::Commit => call.encoded_len(),
        CallClass::Control | CallClass::Read => SMALL_CALL_BYTES,
    }
}
