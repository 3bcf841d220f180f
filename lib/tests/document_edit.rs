//! Edits of a document's text: fields and list elements change, comments stay.

use almondhead_lib::document_edit::append_element;
use almondhead_lib::document_edit::read_values;
use almondhead_lib::document_edit::remove_element;
use almondhead_lib::document_edit::set_field;
use serde_json::json;

const TEXT: &str = "{ // kept\n  \"a\": [ {\"x\": 1}, {\"x\": 2}, ], // kept too\n  \"b\": {},\n}";

#[test]
fn set_and_remove_fields() {
    let text = set_field(TEXT, "/a/1", "x", Some(&json!("new"))).unwrap();
    let text = set_field(&text, "/a/1", "y", Some(&json!(3))).unwrap();
    let text = set_field(&text, "/a/0", "x", None).unwrap();
    let text = set_field(&text, "/b", "z/~", Some(&json!({"q": [1]}))).unwrap();
    let text = set_field(&text, "/b/z~1~0", "q", None).unwrap();
    let text = set_field(&text, "/b", "absent", None).unwrap();
    assert_eq!(text.matches("// kept").count(), 2);
    let expected = json!({"a": [{}, {"x": "new", "y": 3}], "b": {"z/~": {}}});
    assert_eq!(read_values(&text), Some(expected));
}

#[test]
fn append_and_remove_elements() {
    let mut text = append_element(TEXT, "/a", &json!({"x": 3})).unwrap();
    assert_eq!(
        read_values(&text).unwrap()["a"],
        json!([{"x": 1}, {"x": 2}, {"x": 3}])
    );
    for (index, left) in [
        (1, json!([{"x": 1}, {"x": 3}])),
        (1, json!([{"x": 1}])),
        (0, json!([])),
    ] {
        text = remove_element(&text, "/a", index).unwrap();
        assert_eq!(read_values(&text).unwrap()["a"], left);
    }
    let text = append_element(&text, "/a", &json!(7)).unwrap();
    assert_eq!(read_values(&text).unwrap()["a"], json!([7]));
}

#[test]
fn invalid_edits_fail() {
    assert!(set_field("{", "", "a", Some(&json!(1))).is_err());
    assert!(set_field(TEXT, "/a", "x", None).is_err());
    assert!(set_field(TEXT, "/c", "x", None).is_err());
    assert!(append_element(TEXT, "/b", &json!(1)).is_err());
    assert!(remove_element(TEXT, "/a", 2).is_err());
}
