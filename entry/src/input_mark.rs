//! A mark that passes the inputs of the process: the reactor, which wakes the tasks of sockets, and the
//! executor, which runs them.

use std::io;
use std::io::Write;
use std::os::unix::net::UnixStream;

use async_io::Async;
use futures_lite::future::yield_now;

/// How many turns of the executor an input takes from its socket to the driver's queue at most: the task
/// of a socket was running when it was woken, runs again, and passes a message on to another task.
const EXECUTOR_TURNS: usize = 3;

/// A socket that can always be read, behind which a mark waits.
///
/// The system reports sockets in the order in which they became readable, however many there are, and
/// the reactor wakes their tasks in that order. An executor with one thread runs them in that order too.
#[derive(Debug)]
pub struct InputMark {
    socket: Async<UnixStream>,
    /// Keeps the connection open; the byte that it sent is never read.
    _sender: UnixStream,
}

impl InputMark {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// The I/O error if it cannot be opened or registered with the reactor.
    pub fn open() -> io::Result<Self> {
        let (receiver, mut sender) = UnixStream::pair()?;
        sender.write_all(&[0])?;
        Ok(InputMark {
            socket: Async::new(receiver)?,
            _sender: sender,
        })
    }

    /// Returns when the tasks of all sockets that could be read at the call have run, and the tasks that
    /// they passed messages on to.
    ///
    /// # Errors
    ///
    /// The I/O error if the reactor cannot wait for the socket.
    pub async fn pass(&self) -> io::Result<()> {
        self.socket.readable().await?;
        for _ in 1..EXECUTOR_TURNS {
            yield_now().await;
        }
        Ok(())
    }
}
