//! Responses that are written slowly: which count as stalled, and which as slow.

use tulipbridge_core::response_progress::ResponseProgress;
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;

/// Guards against a server that is given up although it writes its answer as fast as the slowest
/// peer may, in pieces of any size.
#[test]
fn response_at_the_lowest_rate_never_stalls_whatever_its_pieces() {
    for piece in [1, 64, 1_000, 16_384, 65_536, 1 << 20] {
        let mut progress = ResponseProgress::new(0);
        let mut now = 0;
        while now < 30_000 * MS {
            progress.bytes_read(piece);
            let interval = Nanos::try_from(piece).expect("small") * MS / 64;
            now += interval;
            assert!(progress.stalls_at() > now, "{piece} bytes at {now} ns");
        }
    }
}

/// Guards against a hung or spoilt response that takes the time of a retry.
#[test]
fn short_response_that_falls_silent_stalls_soon() {
    for (bytes, stalls_at) in [(0, 100 * MS), (64, 101 * MS), (640, 110 * MS)] {
        let mut progress = ResponseProgress::new(7 * MS);
        progress.bytes_read(bytes);
        assert_eq!(progress.stalls_at(), 7 * MS + stalls_at, "{bytes} bytes");
    }
}

#[test]
fn response_is_slow_if_it_still_arrives_after_the_stall_timeout() {
    let mut progress = ResponseProgress::new(7 * MS);
    progress.bytes_read(10_000);
    assert!(!progress.is_slow(107 * MS - 1));
    assert!(progress.is_slow(107 * MS));
}
