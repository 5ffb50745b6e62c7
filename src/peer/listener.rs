use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Task;
use async_std::channel::bounded;
use async_std::net::{TcpListener, TcpStream};
use futures::StreamExt;
use tokio_util::codec::FramedRead;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::call_server::{ArrivedCall, CallServer};
use crate::peer::codec::FrameCodec;
use crate::peer::connection::write_frames;
use crate::peer::outgoing_frame::OutgoingFrame;
use crate::peer::{PeerHandler, PeerTraffic, TrafficClass};
use crate::reserved_threads;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Call, Frame, Hello, Reply};

/// Capacity of a connection's reply queue. Calls wait for space when a peer reads slowly.
const REPLY_QUEUE_FRAMES: usize = 1024;

/// Accepts connections from peers until it is closed.
pub struct PeerListener {
    address: SocketAddr,
    accept_task: Task<()>,
}

impl PeerListener {
    /// Starts the task that accepts connections on `listener` and passes their calls and messages
    /// to `handler`, and counts their bytes in `traffic`. Unless `key` is empty, peers must send it in
    /// their first frame.
    ///
    /// # Errors
    /// If the local address of `listener` can't be read.
    pub fn spawn(
        listener: TcpListener,
        key: &str,
        handler: Arc<dyn PeerHandler>,
        traffic: Arc<PeerTraffic>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let key = key.to_owned();
        let server = Arc::new(CallServer::new(handler, traffic.clone()));
        let accept_task = reserved_threads::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(stream) = incoming.next().await {
                let Ok(stream) = stream else { continue };
                let (server, traffic) = (server.clone(), traffic.clone());
                let served = serve_connection(stream, key.clone(), server, traffic);
                reserved_threads::spawn(served).detach();
            }
        });
        Ok(Self { address, accept_task })
    }

    /// Local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Open connections stay until their peers close them.
    pub async fn close(self) {
        self.accept_task.cancel().await;
    }
}

/// Greets one connection and starts the tasks that serve it: those of a consensus connection on the
/// reserved threads. Closes the connection if the first frame is no `Hello` or has the wrong key.
async fn serve_connection(
    stream: TcpStream,
    key: String,
    server: Arc<CallServer>,
    traffic: Arc<PeerTraffic>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let writer = stream.clone();
    let mut frames = FramedRead::new(stream.compat(), FrameCodec::new());
    let Some(Ok(Frame { body: Some(Body::Hello(hello)), .. })) = frames.next().await else {
        return;
    };
    if !is_authorized(&hello, &key) {
        log::warn!("rejected the peer connection from host {}: wrong peer key", hello.host_id);
        return;
    }
    let traffic = traffic.zone(&hello.zone);
    frames.decoder_mut().count_into(traffic.clone());
    let mut codec = FrameCodec::new();
    codec.count_into(traffic);
    let class = if hello.is_consensus { TrafficClass::Consensus } else { TrafficClass::Online };
    let (replies, queue) = bounded(REPLY_QUEUE_FRAMES);
    class.spawn(write_frames(writer, queue, codec));
    let from: Arc<str> = hello.host_id.into();
    class.spawn(async move {
        while let Some(Ok(frame)) = frames.next().await {
            match frame.body {
                None | Some(Body::Hello(_) | Body::Reply(_)) => {}
                // A probe shows that the connection delivers, however busy the process is.
                Some(Body::Call(Call { call: None, .. })) => {
                    let body = Some(Body::Reply(Reply::default()));
                    let reply = Frame { call_id: frame.call_id, body };
                    let _ = replies.try_send(Box::new(OutgoingFrame::new(reply, None)));
                }
                Some(Body::Call(call)) => {
                    let (call_id, from, replies) = (frame.call_id, from.clone(), replies.clone());
                    server.accept(ArrivedCall { call_id, call, from, replies });
                }
                Some(message) => server.handle_message(&from, message),
            }
        }
        replies.close();
    });
}

fn is_authorized(hello: &Hello, key: &str) -> bool {
    key.is_empty() || hello.proof == key.as_bytes()
}
