//! The committed JSON Schema is the one of the types.

use almondhead_lib::schema::document_schema_text;

const COMMITTED: &str = include_str!("../../docs/protocols/document.schema.json");

#[test]
fn current_schema() {
    assert!(
        COMMITTED == document_schema_text(),
        "run `almondctl schema > docs/protocols/document.schema.json`"
    );
}
