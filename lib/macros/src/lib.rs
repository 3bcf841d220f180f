//! Attribute macros for the sets of derives that the workspace shares.

use proc_macro::TokenStream;

/// Derives `Clone, Debug, PartialEq, Eq`, for a plain value.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, Eq", item)
}

/// Derives those of [`macro@value`] and `Copy, Hash, PartialOrd, Ord`, for a small key.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord",
        item,
    )
}

/// Derives `Clone, Debug, PartialEq`, serde's traits and `JsonSchema`, for a part of a document.
///
/// The item's crate must depend on `serde` and `schemars`.
#[proc_macro_attribute]
pub fn document(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema",
        item,
    )
}

/// Derives `Clone, Debug, PartialEq` and serde's traits, for a message in JSON.
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
        .expect("the derive list is valid Rust");
    tokens.extend(item);
    tokens
}
