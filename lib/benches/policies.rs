//! Costs of the policies, at several sizes.
fn main() {}
