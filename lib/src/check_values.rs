//! The check of values that depend on each other, of addresses and of paths.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::check_cursor::Cursor;
use crate::check_report::Report;

/// Reports invalid deadlines, numbers of connections, addresses and paths.
pub(crate) fn check_values(root: &Cursor<'_>, report: &mut Report) {
    for service in root.items("services") {
        check_deadlines(&service, report);
        check_path(&service, report);
    }
    for upstream in root.items("upstreams") {
        check_connections(&upstream, report);
    }
    check_addresses(root, report);
}

fn check_deadlines(service: &Cursor<'_>, report: &mut Report) {
    let Some(default) = service.field("default_deadline_ms") else {
        return;
    };
    let max_ms = service
        .field("max_deadline_ms")
        .and_then(|max| max.number());
    let Some((default_ms, max_ms)) = default.number().zip(max_ms) else {
        return;
    };
    if default_ms > max_ms {
        let reason = format!("{default_ms} must not be above max_deadline_ms, {max_ms}");
        report.add(default.offset(), default.path, reason);
    }
}

fn check_path(service: &Cursor<'_>, report: &mut Report) {
    let Some(cursor) = service.field("path") else {
        return;
    };
    let Some(path) = cursor.text().filter(|path| !path.is_empty()) else {
        return;
    };
    let visible = path.bytes().all(|byte| byte.is_ascii_graphic());
    if !path.starts_with('/') || !visible || path.contains(['?', '#']) {
        let reason = "must begin with / and contain only visible ASCII characters, without ? or #"
            .to_owned();
        report.add(cursor.offset(), cursor.path, reason);
    }
}

fn check_connections(upstream: &Cursor<'_>, report: &mut Report) {
    let Some(connections) = upstream.field("connections") else {
        return;
    };
    let slots = upstream.field("slots").and_then(|slots| slots.number());
    let Some((count, slots)) = connections.number().zip(slots) else {
        return;
    };
    if count < slots {
        let reason =
            format!("{count} must not be below slots, {slots}: each task in flight needs one");
        report.add(connections.offset(), connections.path, reason);
    }
}

fn check_addresses(root: &Cursor<'_>, report: &mut Report) {
    let instances = root.items("instances");
    let upstreams = root.items("upstreams");
    let peer_addresses = instances.iter().filter_map(|one| one.field("peer_address"));
    let upstream_addresses = upstreams.iter().filter_map(|one| one.field("address"));
    let mut first_lines = IndexMap::new();
    let mut addresses: Vec<Cursor<'_>> = peer_addresses.chain(upstream_addresses).collect();
    addresses.sort_by_key(Cursor::offset);
    for cursor in addresses {
        let Some(address) = cursor.text().and_then(|text| text.parse().ok()) else {
            continue;
        };
        check_reachable(&cursor, address, report);
        let line = report.line_of(cursor.offset());
        if let Some(first_line) = first_lines.get(&address) {
            let reason = format!("{address} is used twice, first on line {first_line}");
            report.add(cursor.offset(), cursor.path, reason);
            continue;
        }
        first_lines.insert(address, line);
    }
}

fn check_reachable(cursor: &Cursor<'_>, address: SocketAddr, report: &mut Report) {
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let reason = format!("{address} is not an address that can be connected to");
        report.add(cursor.offset(), cursor.path.clone(), reason);
    }
}
