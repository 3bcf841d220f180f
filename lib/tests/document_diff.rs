//! The differences between two documents.

use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_lib::document_diff::document_changes;

fn example() -> Document {
    let text = include_str!("../../examples/directory-enquiries.jsonc");
    check_document(text).expect("the example is valid")
}

fn change_lines(before: &Document, after: &Document) -> Vec<String> {
    let changes = document_changes(before, after);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn order_of_elements_is_no_change() {
    let before = example();
    let mut after = example();
    after.upstreams.reverse();
    assert!(change_lines(&before, &after).is_empty());
}

#[test]
fn paths_use_element_names() {
    let before = example();
    let mut after = example();
    after.upstreams.remove(0);
    after.upstreams[0].slots = 4;
    after.teams[0].name = "a/b".to_owned();
    after.data_centres[0].distances[1].one_way_us = 7;
    let lines = change_lines(&before, &after);
    let expected = [
        "/data_centres/miraflores/distances/callao/one_way_us: 1000 -> 7",
        "/teams/contact-centre: removed",
        "/teams/a~1b: added {",
        "/upstreams/miraflores-01: removed",
        "/upstreams/miraflores-02/slots: 8 -> 4",
    ];
    assert_eq!(lines.len(), expected.len(), "{lines:#?}");
    for (line, start) in lines.iter().zip(expected) {
        assert!(line.starts_with(start), "{line}");
    }
}
