//! Where a message of discovery's stream ends, however it is written and in whatever pieces it comes.

use tulipbridge::control::json_stream::{Message, MessageReader};

/// All messages of a stream that comes in pieces of so many bytes.
fn messages(stream: &str, piece: usize) -> Vec<String> {
    let mut messages = MessageReader::default();
    let mut seen = Vec::new();
    for bytes in stream.as_bytes().chunks(piece) {
        messages.push(bytes);
        while let Some(message) = messages.pop() {
            if let Message::Json(json) = message {
                seen.push(String::from_utf8_lossy(&json).trim().to_owned());
            }
        }
    }
    seen
}

#[test]
fn a_message_is_the_same_on_one_line_and_indented_over_many_in_any_pieces() {
    let flat = r#"{"generation":1,"instances":[{"instanceId":"s-{1}","zone":"a \"quoted\\"},{}]}"#;
    let indented = flat.replace(',', ",\n    ").replace("[{", "[\r\n\r\n  {\n");
    for piece in [1, 2, 7, 1000] {
        assert_eq!(messages(&format!("{flat}\n{flat}\n"), piece), [flat, flat]);
        assert_eq!(
            messages(&format!("\n{indented}\n\n{indented}\r\n{flat}"), piece),
            [&indented, &indented, flat]
        );
    }
}

#[test]
fn an_empty_line_is_heard_and_half_a_message_is_not() {
    let mut messages = MessageReader::default();
    messages.push(b"\r\n");
    assert_eq!(messages.pop(), Some(Message::KeepAlive));
    assert_eq!(messages.pop(), None);
    messages.push(b"{\"generation\":1,\n\n\n");
    assert_eq!(messages.pop(), None);
    assert!(messages.buffered() > 0);
}

#[test]
fn a_line_that_is_no_json_ends_with_its_line() {
    assert_eq!(messages("what?\n{\"a\":1}\n}\n[2]\n", 3), ["what?", "{\"a\":1}", "}", "[2]"]);
}
