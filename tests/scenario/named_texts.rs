//! Names of texts that many scripts contain: requests, parts of requests, and edits of settings.

/// A text that scripts use as `${name}`.
struct NamedText {
    name: &'static str,
    text: &'static str,
}

/// Texts for the steps `send` and `settings`. Those that end in `-start` and `platform-headers` are
/// for `send c1 raw`, where the script goes on at the next byte.
const NAMED_TEXTS: [NamedText; 12] = [
    // Two writes that arrive, with time between them for one that should not.
    NamedText {
        name: "two-more-writes",
        text: concat!(
            "send c2 ${write} | wanted\n expect s0\n send s0 200 | stored\n expect c2\n wait 1500\n",
            "send c2 ${write} | wanted too\n expect s0\n send s0 200 | stored\n expect c2",
        ),
    },
    // A request of a class whose requests are not idempotent; a body follows.
    NamedText {
        name: "write",
        text: "PUT /api X-Lane:form-submit",
    },
    NamedText {
        name: "read-start",
        text: r"GET /api HTTP/1.1\r\nHost: t\r\nX-Txn: 00000000000000a1\r\n",
    },
    NamedText {
        name: "write-start",
        text: r"PUT /api HTTP/1.1\r\nHost: t\r\nX-Txn: 00000000000000a1\r\nX-Lane: form-submit\r\n",
    },
    // What a platform request needs beside its transaction id and its class.
    NamedText {
        name: "platform-headers",
        text: concat!(
            r"X-Plan: basico\r\nX-Remaining: 2000m\r\n",
            r"X-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n",
        ),
    },
    // Time for a script to act while the front connects to a chunk server.
    NamedText {
        name: "long-dial-timeout",
        text: "\"DialTimeout\": 250000000 => \"DialTimeout\": 3000000000",
    },
    NamedText {
        name: "create-upload",
        text: "POST /photos/a?uploads",
    },
    // The body of a chunk server's response to `create-upload`.
    NamedText {
        name: "upload-created",
        text: concat!(
            "<InitiateMultipartUploadResult><UploadId>own</UploadId>",
            "</InitiateMultipartUploadResult>",
        ),
    },
    NamedText {
        name: "put-part-1",
        text: "PUT /photos/a?partNumber=1&uploadId=$upload",
    },
    NamedText {
        name: "put-part-2",
        text: "PUT /photos/a?partNumber=2&uploadId=$upload",
    },
    NamedText {
        name: "complete-upload",
        text: "POST /photos/a?uploadId=$upload",
    },
    // The body of `complete-upload`, for an upload of one part.
    NamedText {
        name: "completion",
        text: concat!(
            "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber></Part>",
            "</CompleteMultipartUpload>",
        ),
    },
];

/// Replaces each `${name}` by its text.
pub fn expand(script: &str) -> String {
    let expanded = NAMED_TEXTS.iter().fold(script.to_owned(), |script, named| {
        script.replace(&format!("${{{}}}", named.name), named.text)
    });
    assert!(!expanded.contains("${"), "no such name: {expanded}");
    expanded
}
