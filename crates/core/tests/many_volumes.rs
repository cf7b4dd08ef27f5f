//! Requests under ever new volumes: memory is bounded, and no volume gets more than its limit.

mod common;

use common::*;
use tulipbridge_core::*;

/// The number of volumes that the scheduler keeps at most.
const MAX_VOLUMES: usize = 16_384;
/// The index of the plan with a limit.
const LIMITED_PLAN: usize = 1;

/// Submits a request of a volume, whose client leaves at once.
fn request_of_volume(front: &mut TestFront, id: u64, volume: u64) {
    front.now += MS / 1_000;
    front.submit(Request {
        volume: VolumeId(volume),
        ..request(id, 0, Some(1))
    });
    front.event(Event::ClientDisconnected(RequestId(id)));
}

/// Guards against memory that grows without end while clients name ever new volumes.
#[test]
fn ever_new_volumes_are_forgotten_before_they_are_idle_for_long() {
    let mut front = TestFront::new(settings(), 0);
    for id in 0..40_000 {
        request_of_volume(&mut front, id, 1_000 + id);
        assert!(front.scheduler.volume_count() <= MAX_VOLUMES);
    }
    assert!(front.scheduler.volume_count() > MAX_VOLUMES / 4);
}

/// Guards against a limit that other volumes can lift: a request whose volume is dropped while it
/// waits for the limit does not become one without a limit.
#[test]
fn ever_new_volumes_do_not_lift_the_limit_of_another() {
    let mut front = TestFront::new(settings(), 2);
    let waiting = Request {
        plan: LIMITED_PLAN,
        ..request(1, 0, Some(0))
    };
    assert!(
        sends(&front.submit(waiting)).is_empty(),
        "a limit starts empty"
    );
    for id in 0..40_000 {
        request_of_volume(&mut front, 1_000 + id, 1_000 + id);
    }
    let actions = front.advance(10 * MS);
    assert!(sends(&actions).iter().all(|(id, _)| *id != 1), "not sent");
}
