//! The check of names: unique in their list, well formed, and defined where they are referenced.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::check_cursor::Cursor;
use crate::check_report::Report;
use crate::check_report::quoted;

/// The lists whose elements have a unique `name`.
const NAMED_LISTS: [&str; 5] = [
    "data_centres",
    "instances",
    "services",
    "upstreams",
    "teams",
];

/// A field whose value is the name of an element of another list.
struct Reference {
    list: &'static str,
    field: &'static str,
    target_list: &'static str,
    target_kind: &'static str,
}

const REFERENCES: [Reference; 3] = [
    Reference {
        list: "instances",
        field: "data_centre",
        target_list: "data_centres",
        target_kind: "data centre",
    },
    Reference {
        list: "upstreams",
        field: "data_centre",
        target_list: "data_centres",
        target_kind: "data centre",
    },
    Reference {
        list: "upstreams",
        field: "service",
        target_list: "services",
        target_kind: "service",
    },
];

/// Reports duplicate names, malformed names, undefined references and services without upstreams.
pub(crate) fn check_names(root: &Cursor<'_>, report: &mut Report) {
    for list in NAMED_LISTS {
        check_unique(&root.items(list), "name", report);
    }
    for reference in &REFERENCES {
        check_reference(root, reference, report);
    }
    check_distances(root, report);
    check_services_have_upstreams(root, report);
}

fn check_unique(items: &[Cursor<'_>], field: &str, report: &mut Report) {
    let mut first_lines = IndexMap::new();
    for cursor in items.iter().filter_map(|item| item.field(field)) {
        let Some(name) = cursor.text() else {
            continue;
        };
        check_name_characters(&cursor, name, report);
        let line = report.line_of(cursor.offset());
        if let Some(first_line) = first_lines.get(name) {
            let found = quoted(name);
            let reason = format!("{found} is given twice, first on line {first_line}");
            report.add(cursor.offset(), cursor.path, reason);
            continue;
        }
        first_lines.insert(name, line);
    }
}

fn check_name_characters(cursor: &Cursor<'_>, name: &str, report: &mut Report) {
    if name.trim() != name || name.chars().any(char::is_control) {
        let found = quoted(name);
        let reason =
            format!("{found} must not begin or end with a space or contain control characters");
        report.add(cursor.offset(), cursor.path.clone(), reason);
    }
}

fn check_reference(root: &Cursor<'_>, reference: &Reference, report: &mut Report) {
    let defined = names_of(root, reference.target_list);
    for item in root.items(reference.list) {
        if let Some(cursor) = item.field(reference.field) {
            check_defined(cursor, &defined, reference.target_kind, report);
        }
    }
}

fn names_of<'t>(root: &Cursor<'t>, list: &str) -> IndexSet<&'t str> {
    let items = root.items(list);
    let names = items.iter().filter_map(|item| item.field("name"));
    names.filter_map(|name| name.text()).collect()
}

fn check_defined(cursor: Cursor<'_>, defined: &IndexSet<&str>, kind: &str, report: &mut Report) {
    let Some(name) = cursor.text().filter(|name| !defined.contains(name)) else {
        return;
    };
    let reason = format!("there is no {kind} {}", quoted(name));
    report.add(cursor.offset(), cursor.path, reason);
}

fn check_distances(root: &Cursor<'_>, report: &mut Report) {
    let defined = names_of(root, "data_centres");
    for data_centre in root.items("data_centres") {
        let distances = data_centre.items("distances");
        check_unique(&distances, "to", report);
        let name = data_centre.field("name").and_then(|name| name.text());
        for to in distances.iter().filter_map(|distance| distance.field("to")) {
            if to.text().is_some() && to.text() == name {
                let reason = "is the distance of a data centre to itself".to_owned();
                report.add(to.offset(), to.path, reason);
                continue;
            }
            check_defined(to, &defined, "data centre", report);
        }
    }
}

fn check_services_have_upstreams(root: &Cursor<'_>, report: &mut Report) {
    let upstreams = root.items("upstreams");
    let services_with_upstreams: IndexSet<&str> = upstreams
        .iter()
        .filter_map(|upstream| upstream.field("service"))
        .filter_map(|service| service.text())
        .collect();
    for service in root.items("services") {
        let Some(name) = service.field("name") else {
            continue;
        };
        if name
            .text()
            .is_some_and(|name| !services_with_upstreams.contains(name))
        {
            let reason = "no upstream runs this service".to_owned();
            report.add(service.offset(), service.path, reason);
        }
    }
}
