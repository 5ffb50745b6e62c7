use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::channel::{bounded, Receiver, Sender, TrySendError};
use async_std::net::TcpStream;
use async_std::task;
use futures::channel::oneshot;
use futures::{AsyncWriteExt, StreamExt};
use tokio_util::codec::{Encoder, FramedRead};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::codec::FrameCodec;
use crate::peer::CallError;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Call, Frame, Hello, Reply};
use crate::sockets::connect_to_peer;

/// Frames that may wait for a slow peer before one-way messages are dropped.
const QUEUE_FRAMES: usize = 1024;
/// Bytes gathered into one write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

type Waiting = Mutex<HashMap<u64, oneshot::Sender<Reply>>>;

/// The calling side of a connection to one peer.
pub struct Connection {
    frames: Sender<Frame>,
    waiting: Arc<Waiting>,
    next_call_id: AtomicU64,
    closed: Arc<AtomicBool>,
    /// Frames that were read.
    heard: Arc<AtomicU64>,
}

impl Connection {
    /// Connects to a peer and starts the tasks that read and write frames.
    pub async fn open(address: &str, hello: Hello, timeout: Duration) -> io::Result<Self> {
        let address = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        let stream = connect_to_peer(address, timeout).await?;
        let (frames, queue) = bounded(QUEUE_FRAMES);
        let waiting = Arc::new(Waiting::default());
        let closed = Arc::new(AtomicBool::new(false));
        task::spawn(write_frames(stream.clone(), queue));
        let heard = Arc::new(AtomicU64::new(0));
        task::spawn(read_replies(stream, waiting.clone(), closed.clone(), heard.clone()));
        let next_call_id = AtomicU64::new(1);
        let connection = Self { frames, waiting, next_call_id, closed, heard };
        connection.send(Body::Hello(hello));
        Ok(connection)
    }

    /// True once the connection can't be used any more.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire) || self.frames.is_closed()
    }

    /// Queues a one-way message; drops it when the peer is too slow.
    pub fn send(&self, body: Body) -> bool {
        self.frames.try_send(Frame { call_id: 0, body: Some(body) }).is_ok()
    }

    /// Sends a call and waits for its reply.
    pub async fn call(&self, call: Call, timeout: Duration) -> Result<Reply, CallError> {
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let heard = self.heard.load(Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().expect("lock is not poisoned").insert(call_id, sender);
        let _entry = WaitingEntry { waiting: &self.waiting, call_id };
        match self.frames.try_send(Frame { call_id, body: Some(Body::Call(call)) }) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(CallError::NotSent("peer is slow".into())),
            Err(TrySendError::Closed(_)) => {
                return Err(CallError::NotSent("connection is closed".into()))
            }
        }
        if self.is_closed() {
            return Err(CallError::Lost("connection was closed".into()));
        }
        match async_std::future::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(CallError::Lost("connection was closed".into())),
            Err(_) => {
                if self.heard.load(Ordering::Relaxed) == heard {
                    // A connection may fall silent for good while new ones work.
                    self.closed.store(true, Ordering::Release);
                    self.frames.close();
                }
                Err(CallError::Lost(format!("timeout after {} ms", timeout.as_millis())))
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.frames.close();
    }
}

/// Forgets a call when its caller stops waiting.
struct WaitingEntry<'a> {
    waiting: &'a Waiting,
    call_id: u64,
}

impl Drop for WaitingEntry<'_> {
    fn drop(&mut self) {
        self.waiting.lock().expect("lock is not poisoned").remove(&self.call_id);
    }
}

/// Writes queued frames, many in one write, until the queue is closed.
pub async fn write_frames(mut stream: TcpStream, queue: Receiver<Frame>) {
    let mut codec = FrameCodec::new();
    let mut buffer = bytes::BytesMut::new();
    while let Ok(frame) = queue.recv().await {
        buffer.clear();
        let mut encoded = codec.encode(&frame, &mut buffer).is_ok();
        while encoded && buffer.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = queue.try_recv() else { break };
            encoded = codec.encode(&frame, &mut buffer).is_ok();
        }
        if !encoded || stream.write_all(&buffer).await.is_err() {
            break;
        }
    }
    queue.close();
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

async fn read_replies(
    stream: TcpStream,
    waiting: Arc<Waiting>,
    closed: Arc<AtomicBool>,
    heard: Arc<AtomicU64>,
) {
    let mut frames = FramedRead::new(stream.compat(), FrameCodec::new());
    while let Some(Ok(frame)) = frames.next().await {
        heard.fetch_add(1, Ordering::Relaxed);
        let Some(Body::Reply(reply)) = frame.body else { continue };
        let sender = waiting.lock().expect("lock is not poisoned").remove(&frame.call_id);
        let Some(sender) = sender else { continue };
        let _ = sender.send(reply);
    }
    closed.store(true, Ordering::Release);
    waiting.lock().expect("lock is not poisoned").clear();
}
