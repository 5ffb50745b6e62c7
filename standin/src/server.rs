use std::net::Shutdown;
use std::sync::Arc;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{pin_mut, select_biased, FutureExt};
use http_types::Response;

use crate::engine::{Incarnation, Shared};
use crate::open_answer::OpenAnswer;

/// Accepts connections until the incarnation stops.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    incarnation: Arc<Incarnation>,
) {
    let stop = incarnation.stop.wait().fuse();
    pin_mut!(stop);
    loop {
        let accepted = listener.accept().fuse();
        pin_mut!(accepted);
        let accepted = select_biased! {
            () = stop => break,
            accepted = accepted => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        task::spawn(serve_connection(stream, shared.clone(), incarnation.clone()));
    }
    drop(listener);
    incarnation.stopped.raise();
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>, incarnation: Arc<Incarnation>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let serving = async_h1::accept(stream.clone(), |mut request| {
        let (shared, incarnation, stream) = (shared.clone(), incarnation.clone(), stream.clone());
        async move {
            let open = incarnation.open_answers.clone();
            shared.thawed().await;
            let trace = request.remove_header("traceparent");
            let mut response: Response = incarnation.service.answer(request, stream).await;
            if let Some(trace) = trace {
                response.insert_header("traceparent", &trace);
            }
            OpenAnswer::track(&mut response, open);
            Ok(response)
        }
    })
    .fuse();
    let stop = incarnation.stop.wait().fuse();
    pin_mut!(serving, stop);
    select_biased! {
        () = stop => {}
        _ = serving => {}
    }
    // Other tasks may still hold the stream, so dropping it here would not close it.
    let _ = stream.shutdown(Shutdown::Both);
}
