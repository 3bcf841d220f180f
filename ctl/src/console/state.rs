//! The state of the console while it runs.

use almondhead_net::DocumentStore;
use smol::lock::Mutex;

use super::draft::Draft;
use crate::submitting::default_author;
use crate::submitting::random_token;

/// The store, the draft and the identity of one running console.
pub(crate) struct Console {
    /// The store that documents are loaded from and submitted to.
    pub(crate) store: DocumentStore,
    /// The author of submissions whose form names none.
    pub(crate) author: String,
    /// A random secret in every form, which protects against cross-site request forgery.
    pub(crate) token: String,
    /// The draft; `None` before the first request.
    pub(crate) draft: Mutex<Option<Draft>>,
}

impl Console {
    /// Creates a console without a draft.
    pub(crate) fn new(store: DocumentStore, author: Option<String>) -> Self {
        Console {
            store,
            author: author.unwrap_or_else(default_author),
            token: random_token(),
            draft: Mutex::new(None),
        }
    }
}
