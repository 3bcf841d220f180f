//! Reads and submits documents.

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
use super::submission::SubmitOutcome;
use crate::platform::CasResult;
use crate::platform::NewRow;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::compare_and_set_resolved;
use crate::platform::insert_resolved;

/// Maximum number of attempts to replace the head before the outcome is reported as unknown.
const REPLACE_ATTEMPTS: u32 = 5;

/// The delay between two attempts to replace the head, in milliseconds.
const REPLACE_RETRY_MS: u64 = 300;

/// The document store in the platform's table and object store.
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
    /// Creates a store on a platform.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        DocumentStore { platform }
    }

    /// Reads the head; `None` before the first document.
    pub async fn head(&self) -> Result<Option<Head>, DocumentStoreError> {
        let stored = self.stored_head().await?;
        Ok(stored.map(|stored| stored.head))
    }

    /// Loads the text of the document that a head names.
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

    /// Reads the head of a revision, which may be the newest; `None` if there is no such revision.
    pub async fn revision(&self, revision: u64) -> Result<Option<Head>, DocumentStoreError> {
        let head = self.head().await?;
        match head {
            Some(head) if head.revision == revision => Ok(Some(head)),
            Some(head) if head.revision > revision => self.history_head(revision).await,
            _ => Ok(None),
        }
    }

    /// Reads up to `limit` of the newest heads, newest first.
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
            heads.extend(self.history_head(revision).await?);
        }
        heads.truncate(limit);
        Ok(heads)
    }

    /// Submits a document: writes the text, then the predecessor's history row, then the head.
    ///
    /// # Errors
    ///
    /// [`DocumentStoreError::Unknown`] if the head may have been replaced; after any other error
    /// the document was not accepted.
    pub async fn submit(
        &self,
        submission: &Submission,
    ) -> Result<SubmitOutcome, DocumentStoreError> {
        let current = self.stored_head().await?;
        let current_revision = current.as_ref().map_or(0, |stored| stored.head.revision);
        let expected = submission.expected_revision.unwrap_or(current_revision);
        if expected != current_revision {
            let winner = current.map(|stored| stored.head);
            return Ok(SubmitOutcome::Conflict { winner });
        }
        let next = submission.head_after(current_revision);
        self.store_text(&next, &submission.text).await?;
        if let Some(current) = &current {
            self.write_history(&current.head).await?;
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

    async fn history_head(&self, revision: u64) -> Result<Option<Head>, DocumentStoreError> {
        let step = DocumentStoreStep::ReadHistory;
        let key = history_key(revision);
        let read = self.platform.read(DOCUMENTS_TABLE, &key).await;
        let row = read.map_err(DocumentStoreError::platform(step))?;
        row.map(|row| parse_head(step, &key, &row)).transpose()
    }

    /// Stores a text; if the write may have taken effect without an answer, reads it back.
    async fn store_text(&self, head: &Head, text: &str) -> Result<(), DocumentStoreError> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        let stored = self.platform.put_object(&head.object, body).await;
        let source = match stored {
            Ok(()) => return Ok(()),
            Err(source) => source,
        };
        if source.may_have_applied() && self.load(head).await.is_ok_and(|stored| stored == text) {
            return Ok(());
        }
        let step = DocumentStoreStep::StoreText;
        Err(DocumentStoreError::Platform { step, source })
    }

    /// Copies a head to its history row, which may exist already.
    async fn write_history(&self, head: &Head) -> Result<(), DocumentStoreError> {
        let row = NewRow {
            key: history_key(head.revision),
            value: to_bytes(head),
        };
        let step = DocumentStoreStep::WriteHistory;
        let inserted = insert_resolved(self.platform.as_ref(), DOCUMENTS_TABLE, vec![row]);
        inserted.await.map_err(DocumentStoreError::platform(step))?;
        Ok(())
    }

    /// Replaces the head. Retries are safe because every attempt expects the same row revision.
    async fn replace_head(
        &self,
        row_revision: Option<u64>,
        next: Head,
    ) -> Result<SubmitOutcome, DocumentStoreError> {
        let mut unknown_outcome = None;
        for attempt in 0..REPLACE_ATTEMPTS {
            if attempt > 0 {
                Timer::after(Duration::from_millis(REPLACE_RETRY_MS)).await;
            }
            match self.try_replace(row_revision, &next).await {
                Ok(CasResult::Written { .. }) => return Ok(SubmitOutcome::Accepted { head: next }),
                Ok(CasResult::Conflict(row)) => return self.resolve_conflict(row, next).await,
                Err(source) if source.may_have_applied() => unknown_outcome = Some(source),
                Err(source) if unknown_outcome.is_none() => {
                    let step = DocumentStoreStep::ReplaceHead;
                    return Err(DocumentStoreError::Platform { step, source });
                }
                Err(_) => {}
            }
        }
        let source =
            unknown_outcome.expect("the loop ends only after an attempt of unknown outcome");
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

    /// Determines whether an earlier attempt of this submission was accepted, also if its head has
    /// been replaced since, or another submission won.
    async fn resolve_conflict(
        &self,
        row: Option<Row>,
        next: Head,
    ) -> Result<SubmitOutcome, DocumentStoreError> {
        let winner = row.map(|row| stored_head(&row)).transpose()?;
        let Some(winner) = winner.map(|stored| stored.head) else {
            return Ok(SubmitOutcome::Conflict { winner: None });
        };
        let accepted = if winner.revision > next.revision {
            self.accepted_head(&next).await?
        } else {
            Some(winner.clone())
        };
        if accepted.as_ref() == Some(&next) {
            return Ok(SubmitOutcome::Accepted { head: next });
        }
        let winner = Some(winner);
        Ok(SubmitOutcome::Conflict { winner })
    }

    /// Reads the history row of the revision that this submission tried to write.
    async fn accepted_head(&self, next: &Head) -> Result<Option<Head>, DocumentStoreError> {
        let accepted = self.history_head(next.revision).await;
        accepted.map_err(|error| match error {
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
