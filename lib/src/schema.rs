//! The JSON Schema of the document, generated from the Rust types.

use serde_json::Value;

use crate::document::Document;

/// The `format` that the schema gives to an IP address with a port, such as `10.0.0.1:8080`.
pub(crate) const SOCKET_ADDRESS_FORMAT: &str = "socket-address";

/// The JSON Schema of [`Document`], including the limits that the checker enforces.
pub fn document_schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// The JSON Schema of [`Document`] as indented text that ends with a newline.
pub fn document_schema_text() -> String {
    format!("{:#}\n", document_schema())
}
