//! The framing of sealed messages on a connection between entry instances: a length of four bytes,
//! the most significant first, then the message.

use std::io;

use almondhead_lib::peer_envelope::MAX_ENVELOPE_BYTES;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Splits the bytes of a connection into messages, and joins messages into bytes.
#[derive(Debug)]
pub struct PeerFrames {
    codec: LengthDelimitedCodec,
}

impl Default for PeerFrames {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_ENVELOPE_BYTES)
            .new_codec();
        PeerFrames { codec }
    }
}

impl PeerFrames {
    /// Removes the next whole message from the received bytes; none when more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidData`] when a message would be larger than [`MAX_ENVELOPE_BYTES`].
    pub fn next(&mut self, received: &mut BytesMut) -> io::Result<Option<Bytes>> {
        // Copies the message: what is kept of it must not keep the whole buffer.
        let frame = self.codec.decode(received)?;
        Ok(frame.map(|frame| Bytes::copy_from_slice(&frame)))
    }

    /// Appends a message to the bytes to send.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidInput`] when it is larger than [`MAX_ENVELOPE_BYTES`].
    pub fn append(&mut self, message: Bytes, to_send: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(message, to_send)
    }
}
