//! A server that answers each request with the same bytes, which need not be valid HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use smol::Task;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::locking::lock;

/// The end of an HTTP/1.1 request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The maximum number of bytes read at a time.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// A server that reads the head of each request and answers with the same bytes.
pub struct RawServer {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    _accepting: Task<()>,
}

impl RawServer {
    /// Starts a server on a free loopback port; with `close` it closes a connection after an
    /// answer.
    pub async fn start(answer: impl Into<Vec<u8>>, close: bool) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let heads = Arc::<Mutex<Vec<String>>>::default();
        let accepting = smol::spawn(accept(listener, answer.into(), close, Arc::clone(&heads)));
        Ok(Self {
            address,
            heads,
            _accepting: accepting,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the heads of the requests that it has read.
    pub fn heads(&self) -> Vec<String> {
        lock(&self.heads).clone()
    }
}

async fn accept(
    listener: TcpListener,
    answer: Vec<u8>,
    close: bool,
    heads: Arc<Mutex<Vec<String>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let answer = answer.clone();
        let heads = Arc::clone(&heads);
        smol::spawn(async move {
            // An error means that the client has closed the connection.
            let _ = serve(stream, &answer, close, &heads).await;
        })
        .detach();
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: &[u8],
    close: bool,
    heads: &Mutex<Vec<String>>,
) -> io::Result<()> {
    let mut received = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read_bytes = stream.read(&mut buffer).await?;
        if read_bytes == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..read_bytes]);
        let Some(at) = received
            .windows(HEAD_END.len())
            .position(|end| end == HEAD_END)
        else {
            continue;
        };
        lock(heads).push(String::from_utf8_lossy(&received[..at]).into_owned());
        received.clear();
        stream.write_all(answer).await?;
        if close {
            return Ok(());
        }
    }
}
