//! Where a message of a JSON stream ends, for any layout and any division into pieces.

use tulipbridge::control::json_stream::{Message, MessageReader};

/// All JSON messages of a stream that is received in pieces of `piece_length` bytes.
fn read_messages(stream: &str, piece_length: usize) -> Vec<String> {
    let mut reader = MessageReader::default();
    let mut messages = Vec::new();
    for piece in stream.as_bytes().chunks(piece_length) {
        reader.push(piece);
        while let Some(message) = reader.pop() {
            if let Message::Json(json) = message {
                messages.push(String::from_utf8_lossy(&json).trim().to_owned());
            }
        }
    }
    messages
}

#[test]
fn message_is_the_same_on_one_line_and_indented_over_many_in_any_pieces() {
    let flat = r#"{"generation":1,"instances":[{"instanceId":"s-{1}","zone":"a \"quoted\\"},{}]}"#;
    let indented = flat.replace(',', ",\n    ").replace("[{", "[\r\n\r\n  {\n");
    for piece_length in [1, 2, 7, 1000] {
        assert_eq!(
            read_messages(&format!("{flat}\n{flat}\n"), piece_length),
            [flat, flat]
        );
        assert_eq!(
            read_messages(&format!("{indented}\n\n{indented}\r\n{flat}"), piece_length),
            [&indented, &indented, flat]
        );
    }
}

#[test]
fn empty_line_is_a_keep_alive_and_a_partial_message_is_none() {
    let mut reader = MessageReader::default();
    reader.push(b"\r\n");
    assert_eq!(reader.pop(), Some(Message::KeepAlive));
    assert_eq!(reader.pop(), None);
    reader.push(b"{\"generation\":1,\n\n\n");
    assert_eq!(reader.pop(), None);
    assert!(reader.buffered() > 0);
}

#[test]
fn line_that_is_not_json_ends_with_its_line() {
    assert_eq!(
        read_messages("what?\n{\"a\":1}\n}\n[2]\n", 3),
        ["what?", "{\"a\":1}", "}", "[2]"]
    );
}
