//! The store of documents.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::revision::DOCUMENTS_TABLE;
use almondhead_lib::revision::HEAD_KEY;
use almondhead_lib::revision::Head;
use almondhead_lib::revision::history_key;
use bytes::Bytes;
use smol::Timer;

use super::error::DocumentStoreError;
use super::error::DocumentStoreStep;
use super::submission::Submission;
use super::submission::Submitted;
use crate::platform::CasResult;
use crate::platform::NewRow;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::compare_and_set_resolved;
use crate::platform::insert_resolved;

/// How often the head is replaced before its fate is called unknown.
const REPLACE_ATTEMPTS: u32 = 5;

/// The wait between two attempts to replace the head, in milliseconds.
const REPLACE_RETRY_MS: u64 = 300;

/// The accepted documents in the platform's table and object store.
#[derive(Clone)]
pub struct DocumentStore {
    platform: Arc<dyn Platform>,
}

/// A head and the revision of the row that holds it.
struct StoredHead {
    head: Head,
    row_revision: u64,
}

impl DocumentStore {
    /// The documents' store of a platform.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        DocumentStore { platform }
    }

    /// The head; none before the first document.
    pub async fn head(&self) -> Result<Option<Head>, DocumentStoreError> {
        let stored = self.stored_head().await?;
        Ok(stored.map(|stored| stored.head))
    }

    /// The text of the document that a head names.
    pub async fn load(&self, head: &Head) -> Result<String, DocumentStoreError> {
        let fetched = self.platform.get_object(&head.object).await;
        let body = fetched.map_err(DocumentStoreError::platform(DocumentStoreStep::LoadText))?;
        let object = head.object.clone();
        let Some(body) = body else {
            return Err(DocumentStoreError::MissingObject { object });
        };
        match std::str::from_utf8(&body) {
            Ok(text) => Ok(text.to_owned()),
            Err(source) => Err(DocumentStoreError::NotText { object, source }),
        }
    }

    /// The head of a revision, the newest one included; none where it never was.
    pub async fn revision(&self, revision: u64) -> Result<Option<Head>, DocumentStoreError> {
        let head = self.head().await?;
        match head {
            Some(head) if head.revision == revision => Ok(Some(head)),
            Some(head) if head.revision > revision => self.past(revision).await,
            _ => Ok(None),
        }
    }

    /// The newest heads, the newest first, no more than `limit`.
    pub async fn history(&self, limit: usize) -> Result<Vec<Head>, DocumentStoreError> {
        let Some(head) = self.head().await? else {
            return Ok(Vec::new());
        };
        let older = (1..head.revision).rev();
        let mut heads = vec![head];
        for revision in older {
            if heads.len() >= limit {
                break;
            }
            heads.extend(self.past(revision).await?);
        }
        heads.truncate(limit);
        Ok(heads)
    }

    /// Submits a document: the text, then the predecessor's history row, then the head.
    ///
    /// # Errors
    ///
    /// [`DocumentStoreError::Unknown`] where the head may have been replaced; every other error
    /// means that nothing was accepted.
    pub async fn submit(&self, submission: &Submission) -> Result<Submitted, DocumentStoreError> {
        let current = self.stored_head().await?;
        let current_revision = current.as_ref().map_or(0, |stored| stored.head.revision);
        let expected = submission.expected_revision.unwrap_or(current_revision);
        if expected != current_revision {
            let winner = current.map(|stored| stored.head);
            return Ok(Submitted::Raced { winner });
        }
        let next = submission.head_after(current_revision);
        self.store_text(&next, &submission.text).await?;
        if let Some(current) = &current {
            self.keep(&current.head).await?;
        }
        let row_revision = current.map(|stored| stored.row_revision);
        self.replace_head(row_revision, next).await
    }

    async fn stored_head(&self) -> Result<Option<StoredHead>, DocumentStoreError> {
        let step = DocumentStoreStep::ReadHead;
        let read = self.platform.read(DOCUMENTS_TABLE, HEAD_KEY).await;
        let row = read.map_err(DocumentStoreError::platform(step))?;
        row.map(|row| stored_head(&row)).transpose()
    }

    async fn past(&self, revision: u64) -> Result<Option<Head>, DocumentStoreError> {
        let step = DocumentStoreStep::ReadHistory;
        let key = history_key(revision);
        let read = self.platform.read(DOCUMENTS_TABLE, &key).await;
        let row = read.map_err(DocumentStoreError::platform(step))?;
        row.map(|row| parse_head(step, &key, &row)).transpose()
    }

    /// Stores a text; an answer lost after the write may have taken effect is read back.
    async fn store_text(&self, head: &Head, text: &str) -> Result<(), DocumentStoreError> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        let stored = self.platform.put_object(&head.object, body).await;
        let source = match stored {
            Ok(()) => return Ok(()),
            Err(source) => source,
        };
        if source.may_have_applied() && self.load(head).await.is_ok_and(|kept| kept == text) {
            return Ok(());
        }
        let step = DocumentStoreStep::StoreText;
        Err(DocumentStoreError::Platform { step, source })
    }

    /// Keeps a head in the history; it may be there already.
    async fn keep(&self, head: &Head) -> Result<(), DocumentStoreError> {
        let row = NewRow {
            key: history_key(head.revision),
            value: to_bytes(head),
        };
        let step = DocumentStoreStep::WriteHistory;
        let kept = insert_resolved(self.platform.as_ref(), DOCUMENTS_TABLE, vec![row]);
        kept.await.map_err(DocumentStoreError::platform(step))?;
        Ok(())
    }

    /// Replaces the head; safe to repeat, as every attempt expects the same row revision.
    async fn replace_head(
        &self,
        row_revision: Option<u64>,
        next: Head,
    ) -> Result<Submitted, DocumentStoreError> {
        let mut doubt = None;
        for attempt in 0..REPLACE_ATTEMPTS {
            if attempt > 0 {
                Timer::after(Duration::from_millis(REPLACE_RETRY_MS)).await;
            }
            match self.try_replace(row_revision, &next).await {
                Ok(CasResult::Written { .. }) => return Ok(Submitted::Accepted { head: next }),
                Ok(CasResult::Conflict(row)) => return self.resolve_conflict(row, next).await,
                Err(source) if source.may_have_applied() => doubt = Some(source),
                Err(source) if doubt.is_none() => {
                    let step = DocumentStoreStep::ReplaceHead;
                    return Err(DocumentStoreError::Platform { step, source });
                }
                Err(_) => {}
            }
        }
        let source = doubt.expect("the loop ends only after an attempt in doubt");
        let writer_token = next.writer_token;
        Err(DocumentStoreError::Unknown {
            writer_token,
            source,
        })
    }

    async fn try_replace(
        &self,
        row_revision: Option<u64>,
        next: &Head,
    ) -> Result<CasResult, PlatformError> {
        let platform = self.platform.as_ref();
        let value = to_bytes(next);
        compare_and_set_resolved(platform, DOCUMENTS_TABLE, HEAD_KEY, row_revision, value).await
    }

    /// Tells an own earlier attempt, even one already replaced, from another's submission.
    async fn resolve_conflict(
        &self,
        row: Option<Row>,
        next: Head,
    ) -> Result<Submitted, DocumentStoreError> {
        let winner = row.map(|row| stored_head(&row)).transpose()?;
        let Some(winner) = winner.map(|stored| stored.head) else {
            return Ok(Submitted::Raced { winner: None });
        };
        let accepted = if winner.revision > next.revision {
            self.accepted_before(&next).await?
        } else {
            Some(winner.clone())
        };
        if accepted.as_ref() == Some(&next) {
            return Ok(Submitted::Accepted { head: next });
        }
        let winner = Some(winner);
        Ok(Submitted::Raced { winner })
    }

    /// The head that was accepted under the revision of an own attempt.
    async fn accepted_before(&self, next: &Head) -> Result<Option<Head>, DocumentStoreError> {
        let past = self.past(next.revision).await;
        past.map_err(|error| match error {
            DocumentStoreError::Platform { source, .. } => DocumentStoreError::Unknown {
                writer_token: next.writer_token.clone(),
                source,
            },
            error => error,
        })
    }
}

fn stored_head(row: &Row) -> Result<StoredHead, DocumentStoreError> {
    Ok(StoredHead {
        head: parse_head(DocumentStoreStep::ReadHead, HEAD_KEY, row)?,
        row_revision: row.revision,
    })
}

fn parse_head(step: DocumentStoreStep, key: &str, row: &Row) -> Result<Head, DocumentStoreError> {
    serde_json::from_slice(&row.value).map_err(|source| DocumentStoreError::BadHead {
        step,
        key: key.to_owned(),
        source,
    })
}

fn to_bytes(head: &Head) -> Bytes {
    let json = serde_json::to_vec(head).expect("heads have text keys only");
    Bytes::from(json)
}
