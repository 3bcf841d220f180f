//! What the console keeps while it runs.

use almondhead_net::DocumentStore;
use smol::lock::Mutex;

use super::draft::Draft;
use crate::submitting::default_author;
use crate::submitting::random_token;

/// The console of one operator.
pub(crate) struct Console {
    /// Where documents are loaded from and submitted to.
    pub(crate) store: DocumentStore,
    /// Who submits, unless the form says otherwise.
    pub(crate) author: String,
    /// A secret of this run that forms carry, so that other sites' pages can't send them.
    pub(crate) token: String,
    /// The draft; none before the first page.
    pub(crate) draft: Mutex<Option<Draft>>,
}

impl Console {
    /// A console without a draft.
    pub(crate) fn new(store: DocumentStore, author: Option<String>) -> Self {
        Console {
            store,
            author: author.unwrap_or_else(default_author),
            token: random_token(),
            draft: Mutex::new(None),
        }
    }
}
