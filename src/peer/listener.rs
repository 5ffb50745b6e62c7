use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{bounded, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::StreamExt;
use tokio_util::codec::FramedRead;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::codec::FrameCodec;
use crate::peer::connection::write_frames;
use crate::peer::PeerHandler;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Frame, Hello};

/// Replies that may wait for a slow peer.
const REPLY_QUEUE_FRAMES: usize = 1024;

/// Accepts connections of peers until it is closed.
pub struct PeerListener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl PeerListener {
    /// Serves the connections of `listener`. Peers must show `key` in their first frame when it is
    /// not empty.
    pub fn spawn(
        listener: TcpListener,
        key: &str,
        handler: Arc<dyn PeerHandler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let key = key.to_owned();
        let accepting = task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(stream) = incoming.next().await {
                let Ok(stream) = stream else { continue };
                task::spawn(serve(stream, key.clone(), handler.clone()));
            }
        });
        Ok(Self { address, accepting })
    }

    /// Address that the listener got.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting; open connections end with their peers.
    pub async fn close(self) {
        self.accepting.cancel().await;
    }
}

async fn serve(stream: TcpStream, key: String, handler: Arc<dyn PeerHandler>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (replies, queue) = bounded(REPLY_QUEUE_FRAMES);
    task::spawn(write_frames(stream.clone(), queue));
    let mut frames = FramedRead::new(stream.compat(), FrameCodec::new());
    let Some(Ok(Frame { body: Some(Body::Hello(hello)), .. })) = frames.next().await else {
        replies.close();
        return;
    };
    if !is_trusted(&hello, &key) {
        log::warn!("refused a peer connection from {}: wrong key", hello.host_id);
        replies.close();
        return;
    }
    let from: Arc<str> = hello.host_id.into();
    while let Some(Ok(frame)) = frames.next().await {
        dispatch(frame, &from, &handler, &replies);
    }
    replies.close();
}

fn is_trusted(hello: &Hello, key: &str) -> bool {
    key.is_empty() || hello.proof == key.as_bytes()
}

fn dispatch(
    frame: Frame,
    from: &Arc<str>,
    handler: &Arc<dyn PeerHandler>,
    replies: &Sender<Frame>,
) {
    match frame.body {
        None | Some(Body::Hello(_) | Body::Reply(_)) => {}
        Some(Body::Call(call)) => {
            let (from, handler, replies) = (from.clone(), handler.clone(), replies.clone());
            task::spawn(async move {
                let reply = handler.handle_call(&from, call).await;
                let frame = Frame { call_id: frame.call_id, body: Some(Body::Reply(reply)) };
                let _ = replies.send(frame).await;
            });
        }
        Some(message) => handler.handle_message(from, message),
    }
}
