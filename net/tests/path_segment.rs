//! Encoding and decoding of path segments.

use almondhead_net::decode_segment;
use almondhead_net::encode_segment;

#[test]
fn text_round_trips() {
    fn round_trips(text: String) -> bool {
        let segment = encode_segment(&text);
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_~%".contains(&byte);
        segment.bytes().all(plain) && decode_segment(&segment) == Some(text)
    }
    quickcheck::quickcheck(round_trips as fn(String) -> bool);
}

#[test]
fn malformed_segments_are_rejected() {
    for segment in ["%", "%4", "%zz", "%FF", "a%+1"] {
        assert_eq!(decode_segment(segment), None, "{segment}");
    }
}
