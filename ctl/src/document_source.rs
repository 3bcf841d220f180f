//! Documents named on the command line by revision or file.

use std::path::PathBuf;

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_lib::revision::Head;
use almondhead_macros::value;
use almondhead_net::DocumentStore;

use crate::check_command::read_file;
use crate::context::Context;
use crate::error::CtlError;

/// The source of a document that a command reads.
#[value]
pub(crate) enum DocumentSource {
    /// An accepted revision.
    Revision(u64),
    /// The newest accepted revision.
    Newest,
    /// The file at this path.
    File(PathBuf),
}

impl DocumentSource {
    /// Parses `head` or a revision number; anything else is the path of a file.
    pub(crate) fn parse(argument: &str) -> Self {
        match argument.parse() {
            Ok(revision) => Self::Revision(revision),
            Err(_) if argument == "head" => Self::Newest,
            Err(_) => Self::File(PathBuf::from(argument)),
        }
    }

    /// Loads and checks the document.
    ///
    /// The inner result is the document, or its problems.
    pub(crate) async fn load(
        &self,
        context: &Context,
    ) -> Result<Result<Document, Vec<Problem>>, CtlError> {
        let text = match self {
            Self::File(path) => read_file(path)?,
            Self::Revision(revision) => load_revision(context, Some(*revision)).await?,
            Self::Newest => load_revision(context, None).await?,
        };
        Ok(check_document(&text))
    }
}

async fn load_revision(context: &Context, revision: Option<u64>) -> Result<String, CtlError> {
    let store = context.store()?;
    let head = find_head(&store, revision).await?;
    Ok(store.load(&head).await?)
}

/// Reads the head of a revision, or the newest head when `revision` is `None`.
pub(crate) async fn find_head(
    store: &DocumentStore,
    revision: Option<u64>,
) -> Result<Head, CtlError> {
    match revision {
        None => store.head().await?.ok_or(CtlError::NoDocument),
        Some(revision) => {
            let head = store.revision(revision).await?;
            head.ok_or(CtlError::NoRevision { revision })
        }
    }
}
