//! A server that answers with given bytes, whether or not they are HTTP.

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
/// The most that is read of a request at a time.
const PIECE_BYTES: usize = 4 * 1024;

/// A server that reads the head of each request on a connection and writes the same bytes to each.
pub struct RawServer {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    _accepting: Task<()>,
}

impl RawServer {
    /// Starts a server on a free loopback port; it closes a connection after an answer if told to.
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

    /// Returns the heads of the requests that it read.
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
            // A client that goes away ends its connection.
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
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read_bytes = stream.read(&mut piece).await?;
        if read_bytes == 0 {
            return Ok(());
        }
        received.extend_from_slice(&piece[..read_bytes]);
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
