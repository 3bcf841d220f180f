//! Decoding of submitted form data.

use indexmap::IndexMap;

/// The decoded fields of a form by name; of repeated names the last one counts.
#[derive(Debug, Default)]
pub(crate) struct FormValues(IndexMap<String, String>);

impl FormValues {
    /// Decodes a body of the type `application/x-www-form-urlencoded`.
    pub(crate) fn decode(body: &str) -> Self {
        let pairs = body.split('&').filter(|pair| !pair.is_empty());
        let decoded = pairs.map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode_part(name), decode_part(value))
        });
        FormValues(decoded.collect())
    }

    /// Returns the value of a field; `None` if the browser sent none, as for an unchecked checkbox.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}

fn decode_part(part: &str) -> String {
    let mut bytes = Vec::with_capacity(part.len());
    let mut rest = part.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match (first, tail) {
            (b'+', _) => bytes.push(b' '),
            (b'%', [high, low, after @ ..]) => match hex_byte(*high, *low) {
                Some(byte) => {
                    bytes.push(byte);
                    rest = after;
                }
                None => bytes.push(b'%'),
            },
            (other, _) => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_byte(high: u8, low: u8) -> Option<u8> {
    let high = char::from(high).to_digit(16)?;
    let low = char::from(low).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
