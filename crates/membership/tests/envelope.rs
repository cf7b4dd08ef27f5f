//! Envelopes: an intact one is decoded to the message it was made from, and any other is rejected
//! with the matching error.

use tulipbridge_membership::{
    Envelope, EnvelopeCodec, EnvelopeError, Incarnation, PeerId, MAX_MESSAGE_BYTES,
};

type Message = (u32, Vec<String>);

#[test]
fn only_an_intact_envelope_with_the_same_key_is_opened() {
    let codec = EnvelopeCodec::new(b"  sixteen bytes and more\n").expect("the key is long enough");
    let message: Message = (7, vec!["a".to_owned(), "b".to_owned()]);
    let bytes = codec
        .seal(PeerId(3), Incarnation(0x1122_3344_5566_7788), &message)
        .expect("the message is short");
    let opened = codec.open::<Message>(&bytes);
    assert_eq!(
        opened,
        Ok(Envelope {
            from: PeerId(3),
            incarnation: Incarnation(0x1122_3344_5566_7788),
            message
        })
    );
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        assert!(codec.open::<Message>(&damaged).is_err(), "byte {at}");
        assert!(codec.open::<Message>(&bytes[..at]).is_err(), "cut at {at}");
    }
    let other_codec =
        EnvelopeCodec::new(b"another key of sixteen").expect("the key is long enough");
    assert_eq!(
        other_codec.open::<Message>(&bytes),
        Err(EnvelopeError::MacMismatch)
    );
    let newer = [b"TBP\x03".as_slice(), &bytes[4..]].concat();
    assert_eq!(
        codec.open::<Message>(&newer),
        Err(EnvelopeError::UnsupportedVersion(3))
    );
    assert_eq!(
        codec.open::<(u32, Vec<String>, u8)>(&bytes),
        Err(EnvelopeError::Malformed)
    );
    assert_eq!(
        EnvelopeCodec::new(b"short").err(),
        Some(EnvelopeError::KeyTooShort)
    );
    assert_eq!(
        codec
            .seal(PeerId(0), Incarnation(0), &vec![0u64; MAX_MESSAGE_BYTES])
            .err(),
        Some(EnvelopeError::TooLong)
    );
}
