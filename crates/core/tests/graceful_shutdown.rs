//! Graceful shutdown: the process exits before it is killed, and promptly if no work is pending.

use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;

#[test]
fn process_exits_before_the_kill_for_any_deadline() {
    for (longest_deadline, answer_by, exit_by) in [
        (400, 850, 1_000),
        (1_000, 1_450, 1_600),
        (2_500, 2_950, 3_100),
        (3_000, 3_100, 3_400),
        (60_000, 3_100, 3_400),
    ] {
        let mut shutdown = GracefulShutdown::new(0, longest_deadline * MS);
        let mut step = shutdown.first_step();
        assert_eq!(shutdown.answer_deadline(), answer_by * MS);
        let mut now = 0;
        while step != ShutdownStep::Exit {
            match step {
                ShutdownStep::Accept(time) => {
                    now += time;
                    step = shutdown.on(now, ShutdownEvent::AcceptTimedOut);
                }
                ShutdownStep::StopAccepting => {
                    step = shutdown.on(
                        now,
                        ShutdownEvent::Poll {
                            connections: 3,
                            busy: 1,
                            delivering: 0,
                        },
                    )
                }
                ShutdownStep::Wait(time) => {
                    now += time;
                    step = shutdown.on(
                        now,
                        ShutdownEvent::Poll {
                            connections: 3,
                            busy: 1,
                            delivering: 0,
                        },
                    );
                }
                ShutdownStep::Exit => {}
            }
        }
        assert!(
            (exit_by * MS..(exit_by + 20) * MS + 1).contains(&now),
            "{longest_deadline} ms: {now}"
        );
        assert!(
            now < (longest_deadline.min(3_000) + 700) * MS,
            "before the kill"
        );
    }
}

#[test]
fn process_without_pending_work_exits_at_the_next_poll() {
    let mut shutdown = GracefulShutdown::new(0, 3_000 * MS);
    assert_eq!(
        shutdown.on(500 * MS, ShutdownEvent::AcceptTimedOut),
        ShutdownStep::StopAccepting
    );
    assert!(matches!(
        shutdown.on(
            500 * MS,
            ShutdownEvent::Poll {
                connections: 2,
                busy: 1,
                delivering: 0,
            }
        ),
        ShutdownStep::Wait(_)
    ));
    assert_eq!(
        shutdown.on(
            520 * MS,
            ShutdownEvent::Poll {
                connections: 0,
                busy: 0,
                delivering: 0,
            }
        ),
        ShutdownStep::Exit
    );
}

// Guards against a process that exits while it writes a long response.
#[test]
fn process_does_not_exit_while_a_response_is_under_way() {
    let mut shutdown = GracefulShutdown::new(0, 3_000 * MS);
    let poll = |delivering| ShutdownEvent::Poll {
        connections: 1,
        busy: 1,
        delivering,
    };
    assert_eq!(
        shutdown.on(500 * MS, ShutdownEvent::AcceptTimedOut),
        ShutdownStep::StopAccepting
    );
    for now in [3_390 * MS, 3_410 * MS, 60_000 * MS] {
        let step = shutdown.on(now, poll(1));
        assert!(matches!(step, ShutdownStep::Wait(_)), "at {now} ns");
    }
    assert_eq!(shutdown.on(60_020 * MS, poll(0)), ShutdownStep::Exit);
}
