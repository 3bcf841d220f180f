//! Handlers that share a context.

use std::sync::Arc;

use trillium::Conn;
use trillium::Handler;

/// A handler that is given the shared context with each request.
pub(crate) fn bind<C, F, Answer>(context: &Arc<C>, handle: F) -> impl Handler + use<C, F, Answer>
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Conn) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Conn> + Send + 'static,
{
    let context = Arc::clone(context);
    move |conn: Conn| handle(Arc::clone(&context), conn)
}
