//! Responses that are written slowly: which count as stalled, and when they are passed on.

use tulipbridge_core::response_progress::{ResponseDeadlines, ResponseProgress};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;
/// A deadline that leaves the longest pause.
const LATE_DEADLINE: Nanos = 60_000 * MS;

/// Returns the deadlines of an attempt that times out when its client stops waiting.
fn deadlines(at: Nanos) -> ResponseDeadlines {
    ResponseDeadlines {
        attempt: at,
        client: at,
    }
}

/// Returns the progress of a response to an attempt with this deadline, whose `pieces` were read at
/// these times.
fn progress(deadline: Nanos, pieces: &[(Nanos, usize)]) -> ResponseProgress {
    let mut progress = ResponseProgress::new(pieces[0].0, deadlines(deadline));
    for &(read_at, count) in pieces {
        progress.bytes_read(read_at, count);
    }
    progress
}

/// Guards against a server that is given up although it writes its answer as fast as the slowest
/// peer may, in pieces of any size.
#[test]
fn response_at_the_lowest_rate_never_stalls_whatever_its_pieces() {
    for piece in [1, 64, 1_000, 16_384, 65_536, 1 << 20] {
        for deadline in [0, 300 * MS, LATE_DEADLINE] {
            let mut progress = ResponseProgress::new(0, deadlines(deadline));
            let mut now = 0;
            while now < 30_000 * MS {
                progress.bytes_read(now, piece);
                let interval = Nanos::try_from(piece).expect("small") * MS / 64;
                now += interval;
                assert!(progress.stalls_at() > now, "{piece} bytes at {now} ns");
            }
        }
    }
}

/// Guards against a hung or spoilt response that takes the time of a retry.
#[test]
fn response_that_falls_silent_leaves_time_for_another_attempt() {
    for (time_left, pause) in [(50, 100), (400, 300), (2_000, 1_500), (9_000, 2_000)] {
        for bytes in [0, 64, 640] {
            let read_at = 7 * MS;
            let transfer_time = Nanos::try_from(bytes).expect("small") * MS / 64;
            let progress = progress(read_at + time_left * MS, &[(read_at, bytes)]);
            let stalls_at = read_at + (pause * MS).max(100 * MS + transfer_time);
            assert_eq!(progress.stalls_at(), stalls_at, "{bytes} of {time_left} ms");
        }
    }
}

/// Guards against an answer that is given up because its server pauses between head and body, or
/// between two pieces of the body.
#[test]
fn response_may_pause_again_after_each_piece() {
    let pieces = [(0, 100), (950 * MS, 1_000), (1_900 * MS, 1_000)];
    assert!(progress(2_500 * MS, &pieces).stalls_at() > 2_850 * MS);
}

/// Guards against a first piece that is held back until the client's time is over.
#[test]
fn beginning_of_a_response_that_pauses_is_passed_on() {
    let fast = progress(430 * MS, &[(7 * MS, 50_000)]);
    assert_eq!(fast.forward_at(), 107 * MS);
    let head_only = progress(430 * MS, &[(7 * MS, 120)]);
    assert_eq!(head_only.forward_at(), 410 * MS);
}

#[test]
fn response_is_slow_if_it_still_arrives_after_a_tenth_of_a_second() {
    let progress = progress(LATE_DEADLINE, &[(7 * MS, 10_000)]);
    assert_eq!(progress.slow_at(), 107 * MS);
}

/// Guards against a sound server that is cut off by the limit for a hung one, and against a client
/// that gets no end from a hung one.
#[test]
fn paused_response_ends_soon_after_its_deadline_unless_its_server_has_written() {
    let head_only = progress(430 * MS, &[(7 * MS, 120)]);
    assert_eq!(head_only.resume_by(), 880 * MS);
    let first_piece = progress(430 * MS, &[(7 * MS, 50_000)]);
    assert_eq!(first_piece.resume_by(), 1_207 * MS);
}

/// Guards against a sound server that is given up although no other one could pause as long, and
/// against a hung one that takes the time of another attempt.
#[test]
fn response_is_replaced_only_while_another_could_pause_as_long() {
    for (started_at, deadline, replaced_at) in [
        (0, 9_000, Some(2_000)),
        (0, 2_000, Some(1_450)),
        (0, 750, Some(200)),
        (0, 430, None),
        (210, 750, None),
    ] {
        let progress = progress(deadline * MS, &[(started_at * MS, 0)]);
        let expected = replaced_at.map(|at| at * MS);
        assert_eq!(progress.replaced_at(), expected, "{deadline} ms");
    }
}
