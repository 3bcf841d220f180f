//! The committed JSON Schema is the one generated from the types.

use almondhead_lib::schema::document_schema_text;

const COMMITTED: &str = include_str!("../../docs/protocols/document.schema.json");

#[test]
fn committed_schema_is_current() {
    assert!(
        COMMITTED == document_schema_text(),
        "run `almondctl schema > docs/protocols/document.schema.json`"
    );
}
