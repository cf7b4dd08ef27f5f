//! The transcript of a scenario, kept as a snapshot.

use std::collections::HashMap;
use std::fmt::{Arguments, Write as _};

use super::connection::Message;
use super::Front;

/// Headers that a transcript shows.
const SHOWN_HEADERS: [&str; 9] = [
    "x-txn",
    "range",
    "if-match",
    "retry-after",
    "content-range",
    "etag",
    "x-amz-version-id",
    "connection",
    "x-amz-meta-tulipbridge-upload",
];
/// Longer bodies are shown by their length.
const MAX_SHOWN_BODY_BYTES: usize = 400;

/// What happened so far.
pub struct Transcript {
    front: Front,
    /// A line for each message or result.
    pub text: String,
    /// Values that differ from run to run, by the name under which a script uses them.
    variables: HashMap<&'static str, String>,
}

impl Transcript {
    pub fn new(front: Front) -> Transcript {
        Transcript {
            front,
            text: String::new(),
            variables: HashMap::new(),
        }
    }

    /// Replaces `$NAME` by the value of each variable.
    pub fn substitute(&self, line: &str) -> String {
        let replace = |line: String, (name, value): (&&str, &String)| {
            line.replace(&format!("${name}"), value)
        };
        self.variables.iter().fold(line.to_owned(), replace)
    }

    /// Adds a line.
    pub fn line(&mut self, text: Arguments<'_>) {
        writeln!(self.text, "{text}").expect("strings take all");
    }

    /// Adds a message. Values that differ from run to run are left out, or kept as variables.
    pub fn message(&mut self, party: &str, message: &Message) {
        let mut text = message.start_line.replace("HTTP/1.1 ", "");
        for name in SHOWN_HEADERS {
            if let Some(value) = self.shown_header(name, message) {
                write!(text, " {name}:{value}").expect("strings take all");
            }
        }
        let body = String::from_utf8_lossy(&message.body);
        self.keep_variables(message, &body);
        let body = shown_body(&body);
        if !body.is_empty() {
            write!(text, " | {}", body.replace('\n', " ")).expect("strings take all");
        }
        if let Some(token) = self.variables.get("token") {
            text = text.replace(token, "TOKEN");
        }
        self.line(format_args!("{party} < {text}"));
    }

    fn shown_header(&self, name: &str, message: &Message) -> Option<String> {
        let value = message.headers.get(name)?;
        // The ids of the object front are random.
        if name == "x-txn" && self.front == Front::Object {
            return None;
        }
        // The time depends on what was measured.
        let is_positive = value.parse().is_ok_and(|seconds: f64| seconds > 0.0);
        Some(if name == "retry-after" && is_positive {
            "some".to_owned()
        } else {
            value.clone()
        })
    }

    fn keep_variables(&mut self, message: &Message, body: &str) {
        if let Some(token) = message.headers.get("x-amz-meta-tulipbridge-upload") {
            self.variables.insert("token", token.clone());
        }
        if let Some((_, rest)) = body.split_once("<UploadId>") {
            let id = rest.split('<').next().unwrap_or_default();
            self.variables.insert("upload", id.to_owned());
        }
    }
}

fn shown_body(body: &str) -> String {
    match body.split_once("<RequestId>") {
        Some((before, _)) => before.to_owned(),
        None if body.len() > MAX_SHOWN_BODY_BYTES => format!("{} bytes", body.len()),
        None => body.to_owned(),
    }
}
