//! The body of a request to a chunk server.

use std::future::poll_fn;
use std::pin::Pin;

use bytes::Bytes;
use hyper::body::Body;
use tulipbridge::upstream::request_body::{RequestBody, MAX_FRAME_BYTES};

/// Reads all frames of a body, and checks the length that it announces before each.
async fn read_frames(mut body: RequestBody, mut expected_length: usize) -> Vec<Bytes> {
    let mut frames = Vec::new();
    loop {
        assert_eq!(body.size_hint().exact(), Some(expected_length as u64));
        assert_eq!(body.is_end_stream(), expected_length == 0);
        let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await else {
            return frames;
        };
        let data = frame.expect("no error").into_data().expect("data");
        expected_length -= data.len();
        frames.push(data);
    }
}

/// Guards against a second copy of a long body in memory: the HTTP client copies a frame as a whole.
#[test]
fn body_is_read_in_bounded_frames() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    for length in [
        0,
        1,
        MAX_FRAME_BYTES,
        MAX_FRAME_BYTES + 1,
        10 * MAX_FRAME_BYTES,
    ] {
        let bytes: Vec<u8> = (0..length).map(|index| index as u8).collect();
        let body = RequestBody::new(Bytes::from(bytes.clone()));
        let frames = runtime.block_on(read_frames(body, length));
        assert!(frames.iter().all(|frame| frame.len() <= MAX_FRAME_BYTES));
        assert_eq!(
            frames.len(),
            length.div_ceil(MAX_FRAME_BYTES),
            "no frame is shorter than it may be"
        );
        assert_eq!(frames.concat(), bytes);
    }
}
