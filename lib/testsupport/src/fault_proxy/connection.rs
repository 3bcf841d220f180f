//! One connection through a proxy.

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

/// The most that is passed on in one piece.
const PIECE_BYTES: usize = 16 * 1024;
/// How often data in a black hole looks whether the faults have changed.
const HEAL_POLL: Duration = Duration::from_millis(5);

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

/// Passes data on in both directions until the connection ends or is cut.
pub(crate) async fn serve(state: &ProxyState, client: TcpStream) {
    let Ok(server) = TcpStream::connect(state.target).await else {
        state.count(|counters| counters.unreachable += 1);
        return;
    };
    // Without this each small piece may wait for an acknowledgement; nothing worse.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let requests = pass_on(state, client.clone(), server.clone(), Direction::Request);
    let answers = pass_on(state, server, client, Direction::Answer);
    // Either side's error ends both; it is the test's own doing.
    let _ = try_zip(requests, answers).await;
}

async fn pass_on(
    state: &ProxyState,
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE_BYTES];
    let mut passed_bytes = 0;
    loop {
        let read_bytes = from.read(&mut buffer).await?;
        if read_bytes == 0 {
            return to.shutdown(Shutdown::Write);
        }
        suffer(state, direction).await;
        let limit_bytes = direction.cut_after_bytes(&state.faults());
        let allowed_bytes = allowed(passed_bytes, read_bytes, limit_bytes);
        passed_bytes += allowed_bytes as u64;
        // Counted first: whoever receives the bytes finds them counted.
        state.count(|counters| match direction {
            Direction::Request => counters.request_bytes += allowed_bytes as u64,
            Direction::Answer => counters.answer_bytes += allowed_bytes as u64,
        });
        to.write_all(&buffer[..allowed_bytes]).await?;
        if limit_bytes.is_some_and(|limit_bytes| passed_bytes >= limit_bytes) {
            state.count(|counters| counters.cuts += 1);
            return Err(ErrorKind::ConnectionAborted.into());
        }
    }
}

/// Waits as long as the faults in force keep a piece of data back.
async fn suffer(state: &ProxyState, direction: Direction) {
    let delay_ms = state.faults().delay_ms;
    if delay_ms > 0 {
        state.count(|counters| counters.delayed += 1);
        Timer::after(Duration::from_millis(delay_ms)).await;
    }
    if direction == Direction::Answer
        && let Some(released) = state.hold_answer()
    {
        // The release is the end of the channel.
        let _ = released.recv().await;
    }
    if direction.is_black_hole(&state.faults()) {
        state.count(|counters| counters.black_holed += 1);
        while direction.is_black_hole(&state.faults()) {
            Timer::after(HEAL_POLL).await;
        }
    }
}

fn allowed(passed_bytes: u64, read_bytes: usize, limit_bytes: Option<u64>) -> usize {
    let Some(limit_bytes) = limit_bytes else {
        return read_bytes;
    };
    let left_bytes = limit_bytes.saturating_sub(passed_bytes);
    usize::try_from(left_bytes).map_or(read_bytes, |left_bytes| left_bytes.min(read_bytes))
}
