//! Child processes of a test, which are killed when their handle is dropped.

mod error;
mod handle;
mod output;
mod thread_state;
mod workspace;

pub use error::ProcessError;
pub use handle::ProcessHandle;
pub use workspace::free_address;
pub use workspace::workspace_binary;
