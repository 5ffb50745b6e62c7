//! Answers that break off while the request is still being written.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use async_std::task;
use damaskhoist::http::{BodyReader, BufferLease, Connection, HttpError};
use damaskhoist::sockets::connect;
use socket2::SockRef;

const ROUNDS: usize = 400;
const UPLOAD_BYTES: usize = 1 << 20;
const HEAD_LIMIT_BYTES: usize = 64 << 10;
const BODY_LIMIT_BYTES: u64 = 1 << 20;
const CONNECT_TIME: Duration = Duration::from_secs(5);

/// Reads a part of the upload, sends a part of an answer without a length and resets the connection.
fn answer_and_reset(mut stream: TcpStream, round: usize) {
    let mut part = vec![0; 1 + 4_096 * (round % 16)];
    stream.read_exact(&mut part).unwrap();
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart of the body").unwrap();
}

async fn exchange(connection: &mut Connection, upload: &[u8]) -> Result<Vec<u8>, HttpError> {
    let (head, _) = connection.round_trip(upload, HEAD_LIMIT_BYTES).await?;
    let mut lease = BufferLease::for_answer();
    let mut body = BodyReader::new(head.framing);
    Ok(body.read_all(connection, BODY_LIMIT_BYTES, &mut lease).await?.to_vec())
}

/// Guards against a failed write that uses up the error of the socket, so that the read after it finds the end of the
/// connection and the part of the answer looks complete.
#[test]
fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        for round in 0..ROUNDS {
            let (stream, _) = listener.accept().unwrap();
            answer_and_reset(stream, round);
        }
    });
    let upload = vec![b' '; UPLOAD_BYTES];
    let complete = task::block_on(async {
        let mut complete = 0;
        for _ in 0..ROUNDS {
            let mut connection = Connection::new(connect(address, CONNECT_TIME).await.unwrap());
            complete += usize::from(exchange(&mut connection, &upload).await.is_ok());
        }
        complete
    });
    server.join().unwrap();
    assert_eq!(complete, 0, "of {ROUNDS} answers that were reset");
}
