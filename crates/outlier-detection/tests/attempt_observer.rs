//! Classification of attempts by their latency and their result.

use tulipbridge_outlier_detection::*;

const MS: Nanos = 1_000_000;
const SERVER: ServerId = ServerId(3);
const CLASS: ClassId = ClassId(1);
const ATTEMPT: AttemptId = AttemptId {
    request: 7,
    attempt: 0,
};

/// The sample of an attempt that the detector receives, apart from its server and class.
#[derive(Debug, PartialEq)]
enum Sample {
    Attempt(SampleQuality),
    Probe(SampleQuality),
}

fn sample(event: Event) -> Sample {
    match event {
        Event::Attempt {
            server: SERVER,
            class: CLASS,
            quality,
        } => Sample::Attempt(quality),
        Event::Probed {
            server: SERVER,
            class: CLASS,
            quality,
        } => Sample::Probe(quality),
        other => panic!("unexpected event: {other:?}"),
    }
}

/// Creates an observer with a median latency of 10 ms, so that answers after more than 40 ms are
/// slow.
fn observer() -> AttemptObserver {
    let mut observer = AttemptObserver::default();
    observer.attempt_sent(0, ATTEMPT, SERVER, CLASS, true);
    let first = observer.attempt_ended(10 * MS, ATTEMPT, AttemptResult::Answered);
    assert_eq!(
        first.map(sample),
        Some(Sample::Attempt(SampleQuality::Healthy))
    );
    observer
}

/// Returns the sample of an attempt that ends after a latency.
fn sample_after(latency: Nanos, result: AttemptResult) -> Option<Sample> {
    let mut observer = observer();
    observer.attempt_sent(100 * MS, ATTEMPT, SERVER, CLASS, true);
    observer
        .attempt_ended(100 * MS + latency, ATTEMPT, result)
        .map(sample)
}

#[test]
fn an_answer_is_healthy_unless_it_is_slow() {
    let healthy = Some(Sample::Attempt(SampleQuality::Healthy));
    let failed = Some(Sample::Attempt(SampleQuality::Failed));
    assert_eq!(sample_after(35 * MS, AttemptResult::Answered), healthy);
    assert_eq!(sample_after(45 * MS, AttemptResult::Answered), failed);
}

#[test]
fn a_failure_counts_and_a_rejection_does_not() {
    assert_eq!(
        sample_after(MS, AttemptResult::Failed),
        Some(Sample::Attempt(SampleQuality::Failed))
    );
    assert_eq!(sample_after(MS, AttemptResult::Rejected), None);
    assert_eq!(sample_after(45 * MS, AttemptResult::Rejected), None);
}

#[test]
fn a_cancelled_attempt_counts_as_failed_only_if_it_was_slow() {
    assert_eq!(sample_after(35 * MS, AttemptResult::Cancelled), None);
    let failed = Some(Sample::Attempt(SampleQuality::Failed));
    assert_eq!(sample_after(45 * MS, AttemptResult::Cancelled), failed);
}

#[test]
fn an_overdue_attempt_counts_once_however_it_ends() {
    let mut observer = observer();
    observer.attempt_sent(100 * MS, ATTEMPT, SERVER, CLASS, true);
    assert!(!observer.has_overdue(135 * MS));
    assert!(observer.has_overdue(145 * MS));
    let overdue: Vec<Sample> = observer
        .take_overdue(145 * MS)
        .into_iter()
        .map(sample)
        .collect();
    assert_eq!(overdue, [Sample::Attempt(SampleQuality::Failed)]);
    assert!(!observer.has_overdue(146 * MS));
    assert!(observer.take_overdue(146 * MS).is_empty());
    assert!(observer
        .attempt_ended(150 * MS, ATTEMPT, AttemptResult::Answered)
        .is_none());
}

#[test]
fn a_pause_of_the_front_does_not_make_attempts_in_flight_overdue() {
    let mut observer = observer();
    observer.step(100 * MS);
    observer.attempt_sent(100 * MS, ATTEMPT, SERVER, CLASS, true);
    observer.step(1_100 * MS);
    assert!(!observer.has_overdue(1_135 * MS));
    assert!(observer.has_overdue(1_145 * MS));
}

#[test]
fn the_next_idempotent_attempt_is_the_probe_until_the_turn_ends() {
    let is_probe = |sent_at: Nanos, idempotent: bool| {
        let mut observer = observer();
        observer.probe_next(SERVER, 500 * MS);
        observer.attempt_sent(sent_at, ATTEMPT, SERVER, CLASS, idempotent);
        let event = observer
            .attempt_ended(sent_at + MS, ATTEMPT, AttemptResult::Answered)
            .expect("the attempt is counted");
        sample(event) == Sample::Probe(SampleQuality::Healthy)
    };
    assert!(is_probe(499 * MS, true));
    assert!(!is_probe(500 * MS, true));
    assert!(!is_probe(499 * MS, false));
}

#[test]
fn only_one_attempt_is_the_probe_and_none_after_readmission() {
    let mut observer = observer();
    observer.probe_next(SERVER, 500 * MS);
    for expected in [
        Sample::Probe(SampleQuality::Healthy),
        Sample::Attempt(SampleQuality::Healthy),
    ] {
        observer.attempt_sent(100 * MS, ATTEMPT, SERVER, CLASS, true);
        let event = observer.attempt_ended(101 * MS, ATTEMPT, AttemptResult::Answered);
        assert_eq!(event.map(sample), Some(expected));
    }
    observer.probe_next(SERVER, 500 * MS);
    observer.readmitted(SERVER);
    observer.attempt_sent(100 * MS, ATTEMPT, SERVER, CLASS, true);
    let event = observer.attempt_ended(101 * MS, ATTEMPT, AttemptResult::Answered);
    assert_eq!(
        event.map(sample),
        Some(Sample::Attempt(SampleQuality::Healthy))
    );
}

#[test]
fn the_median_estimate_moves_by_a_twentieth_with_each_answer() {
    let mut observer = AttemptObserver::default();
    assert_eq!(observer.median(CLASS), None);
    let mut answer_after = |latency: Nanos| {
        observer.attempt_sent(0, ATTEMPT, SERVER, CLASS, true);
        observer.attempt_ended(latency, ATTEMPT, AttemptResult::Answered);
        observer.median(CLASS).expect("there has been an answer")
    };
    // The first latency becomes the estimate. Since it is not above itself, the estimate decreases.
    assert_eq!(answer_after(100 * MS), 95 * MS);
    assert_eq!(answer_after(200 * MS), 99_750_000);
    assert_eq!(answer_after(10 * MS), 94_762_500);
}
