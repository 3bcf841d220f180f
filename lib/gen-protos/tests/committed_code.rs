//! The committed module matches the committed `.proto` file.

use std::fs;

use almondhead_gen_protos::committed_path;
use almondhead_gen_protos::generate;

#[test]
fn committed_module_is_up_to_date() {
    let committed = fs::read_to_string(committed_path()).unwrap();
    assert!(
        committed == generate().unwrap(),
        "run `cargo run -p almondhead-gen-protos` and commit the result"
    );
}
