//! The differences between two documents.

use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_lib::document_diff::document_changes;

fn example() -> Document {
    let text = include_str!("../../examples/directory-enquiries.jsonc");
    check_document(text).expect("the example is sound")
}

fn shown(before: &Document, after: &Document) -> Vec<String> {
    let changes = document_changes(before, after);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn no_changes() {
    let before = example();
    let mut after = example();
    after.upstreams.reverse();
    assert!(shown(&before, &after).is_empty());
}

#[test]
fn paths_by_name() {
    let before = example();
    let mut after = example();
    after.upstreams.remove(0);
    after.upstreams[0].slots = 4;
    after.teams[0].name = "a/b".to_owned();
    after.data_centres[0].distances[1].one_way_us = 7;
    let shown = shown(&before, &after);
    let expected = [
        "/data_centres/miraflores/distances/callao/one_way_us: 1000 -> 7",
        "/teams/contact-centre: removed",
        "/teams/a~1b: added {",
        "/upstreams/miraflores-01: removed",
        "/upstreams/miraflores-02/slots: 8 -> 4",
    ];
    assert_eq!(shown.len(), expected.len(), "{shown:#?}");
    for (line, start) in shown.iter().zip(expected) {
        assert!(line.starts_with(start), "{line}");
    }
}
