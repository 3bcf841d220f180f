//! Binds request handlers to a shared context.

use std::sync::Arc;

use trillium::Conn;
use trillium::Handler;

/// Returns a handler that passes the shared context to `handle` with each request.
pub(crate) fn bind<C, F, Answer>(context: &Arc<C>, handle: F) -> impl Handler + use<C, F, Answer>
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Conn) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Conn> + Send + 'static,
{
    let context = Arc::clone(context);
    move |conn: Conn| handle(Arc::clone(&context), conn)
}
