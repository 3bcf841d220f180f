//! Attribute macros that add the sets of derives the workspace shares.

use proc_macro::TokenStream;

/// Adds `Clone, Debug, PartialEq, Eq`: a plain value.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, Eq", item)
}

/// Adds the derives of [`macro@value`] with `Copy, Hash, PartialOrd, Ord`: a small key.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord",
        item,
    )
}

/// Adds the derives of [`macro@value`] with serde's and a JSON Schema: a part of a document.
///
/// The item's crate must depend on `serde` and `schemars`.
#[proc_macro_attribute]
pub fn document(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema",
        item,
    )
}

/// Adds the derives of [`macro@value`] with serde's: a message in JSON.
///
/// The item's crate must depend on `serde`.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize",
        item,
    )
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = format!("#[derive({derives})]")
        .parse()
        .expect("derive list is valid Rust");
    tokens.extend(item);
    tokens
}
