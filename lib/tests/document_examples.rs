//! The example documents pass the checker and describe the sites in their real sizes.

use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_lib::policies::Prefer;
use indexmap::IndexMap;

const DIRECTORY_ENQUIRIES: &str = include_str!("../../examples/directory-enquiries.jsonc");
const ORDER_BOOKING: &str = include_str!("../../examples/order-booking.jsonc");

fn parse_valid(text: &str) -> Document {
    check_document(text).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

fn assert_upstreams(document: &Document, cores: u32, rack_size: usize) {
    assert_eq!(document.upstreams.len(), 50);
    let mut racks = IndexMap::new();
    for upstream in &document.upstreams {
        assert_eq!((upstream.slots, upstream.connections), (8, 64));
        assert_eq!(upstream.cores, cores);
        *racks.entry(&upstream.rack).or_insert(0) += 1;
    }
    assert_eq!(racks.values().max(), Some(&rack_size));
}

#[test]
fn directory_enquiries() {
    let document = parse_valid(DIRECTORY_ENQUIRIES);
    assert_eq!(document.data_centres.len(), 4);
    assert_eq!(document.instances.len(), 7);
    assert_eq!(document.policies.prefer, Prefer::ResponseTime);
    assert_upstreams(&document, 16, 6);
}

#[test]
fn order_booking() {
    let document = parse_valid(ORDER_BOOKING);
    assert_eq!(document.data_centres.len(), 3);
    assert_eq!(document.instances.len(), 6);
    assert_eq!(document.policies.prefer, Prefer::FewerMessages);
    assert_upstreams(&document, 32, 8);
}
