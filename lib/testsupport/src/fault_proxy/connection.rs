//! A connection through a proxy.

use std::io;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future::try_zip;
use smol::Timer;
use smol::net::TcpStream;

use super::faults::ProxyFaults;
use super::state::ProxyState;

/// The maximum size of a chunk of data.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// How often data in a black hole checks whether the fault has ended.
const BLACK_HOLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

impl Direction {
    fn is_black_hole(self, faults: &ProxyFaults) -> bool {
        match self {
            Self::Request => faults.black_hole_requests,
            Self::Answer => faults.black_hole_answers,
        }
    }

    fn cut_after_bytes(self, faults: &ProxyFaults) -> Option<u64> {
        match self {
            Self::Request => faults.cut_request_after_bytes,
            Self::Answer => faults.cut_answer_after_bytes,
        }
    }
}

/// Forwards data in both directions until the connection ends or is cut.
pub(crate) async fn serve(state: &ProxyState, client: TcpStream) {
    let Ok(server) = TcpStream::connect(state.target).await else {
        state.count(|counters| counters.unreachable += 1);
        return;
    };
    // An error is harmless: small chunks may then be delayed by Nagle's algorithm.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let requests = forward(state, client.clone(), server.clone(), Direction::Request);
    let answers = forward(state, server, client, Direction::Answer);
    // An error in either direction ends both; it is caused by the test.
    let _ = try_zip(requests, answers).await;
}

async fn forward(
    state: &ProxyState,
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    let mut forwarded_bytes = 0;
    loop {
        let read_bytes = from.read(&mut buffer).await?;
        if read_bytes == 0 {
            return to.shutdown(Shutdown::Write);
        }
        wait_for_faults(state, direction).await;
        let limit_bytes = direction.cut_after_bytes(&state.faults());
        let allowed_bytes = bytes_to_forward(forwarded_bytes, read_bytes, limit_bytes);
        forwarded_bytes += allowed_bytes as u64;
        // Counted before sending, so that the receiver finds the bytes counted.
        state.count(|counters| match direction {
            Direction::Request => counters.request_bytes += allowed_bytes as u64,
            Direction::Answer => counters.answer_bytes += allowed_bytes as u64,
        });
        to.write_all(&buffer[..allowed_bytes]).await?;
        if limit_bytes.is_some_and(|limit_bytes| forwarded_bytes >= limit_bytes) {
            state.count(|counters| counters.cuts += 1);
            return Err(ErrorKind::ConnectionAborted.into());
        }
    }
}

/// Waits as long as the current faults hold a chunk of data back.
async fn wait_for_faults(state: &ProxyState, direction: Direction) {
    let delay_ms = state.faults().delay_ms;
    if delay_ms > 0 {
        state.count(|counters| counters.delayed += 1);
        Timer::after(Duration::from_millis(delay_ms)).await;
    }
    if direction == Direction::Answer
        && let Some(released) = state.hold_answer()
    {
        // The answer is released by closing the channel.
        let _ = released.recv().await;
    }
    if direction.is_black_hole(&state.faults()) {
        state.count(|counters| counters.black_holed += 1);
        while direction.is_black_hole(&state.faults()) {
            Timer::after(BLACK_HOLE_POLL_INTERVAL).await;
        }
    }
}

/// Returns how many of the bytes just read may be forwarded before the connection is cut.
fn bytes_to_forward(forwarded_bytes: u64, read_bytes: usize, limit_bytes: Option<u64>) -> usize {
    let Some(limit_bytes) = limit_bytes else {
        return read_bytes;
    };
    let left_bytes = limit_bytes.saturating_sub(forwarded_bytes);
    usize::try_from(left_bytes).map_or(read_bytes, |left_bytes| left_bytes.min(read_bytes))
}
