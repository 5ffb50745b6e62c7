use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::io::{BufRead, Read};
use http_types::{Body, Response};

/// Body of an answer that counts as open until it has been written to the connection.
pub(crate) struct OpenAnswer {
    body: Body,
    _open: Arc<()>,
}

impl OpenAnswer {
    /// Lets the answer keep `open` until its body has been written.
    pub(crate) fn track(response: &mut Response, open: Arc<()>) {
        let body = response.take_body();
        let length = body.len();
        let content_type = response.header("content-type").cloned();
        response.set_body(Body::from_reader(Self { body, _open: open }, length));
        if let Some(content_type) = content_type {
            response.insert_header("content-type", &content_type);
        }
    }
}

impl Read for OpenAnswer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl BufRead for OpenAnswer {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
    }
}
