//! How many new connections are admitted, by the delay of tasks.

use std::time::Duration;

use stair_http::throttle::{
    SAMPLE_INTERVAL,
    Throttle, //
};

/// A throttle and its clock.
#[derive(Default)]
struct Fixture {
    throttle: Throttle,
    now: Duration,
}

impl Fixture {
    /// Lets time pass with this delay of all tasks, while `per_s` connections come. Returns the share that is
    /// admitted.
    fn play(&mut self, delay: Duration, per_s: u32, time: Duration) -> f64 {
        let end = self.now + time;
        let (mut admitted, mut came, mut due) = (0, 0, 0.0);
        while self.now < end {
            let step = SAMPLE_INTERVAL + delay;
            self.now += step;
            self.throttle.record_delay(delay, self.now);
            due += step.as_secs_f64() * f64::from(per_s);
            while f64::from(came) < due {
                came += 1;
                admitted += u32::from(self.throttle.admit(self.now));
            }
        }
        f64::from(admitted) / f64::from(came.max(1))
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn in_time() {
    let mut fixture = Fixture::default();
    let share = fixture.play(Duration::from_millis(10), 1000, SECOND * 5);
    assert_eq!(share, 1.0);
}

/// The whole VM stood still: the tasks run once late, and no connection is refused for it.
#[test]
fn one_pause() {
    let mut fixture = Fixture::default();
    fixture.play(Duration::from_millis(1), 100, SECOND);
    fixture.now += SECOND * 5;
    fixture.throttle.record_delay(SECOND * 5, fixture.now);
    let share = fixture.play(Duration::from_millis(1), 100, SECOND);
    assert_eq!(share, 1.0);
}

/// The allowance of the processor is used up in each tenth of a second, but not all the time.
#[test]
fn busy_moments() {
    let mut fixture = Fixture::default();
    for _ in 0..50 {
        let busy = fixture.play(Duration::from_millis(80), 100, Duration::from_millis(60));
        let free = fixture.play(Duration::from_millis(1), 100, Duration::from_millis(40));
        assert_eq!((busy, free), (1.0, 1.0));
    }
}

#[test]
fn lasting_queue() {
    let mut fixture = Fixture::default();
    let first = fixture.play(Duration::from_millis(60), 500, SECOND);
    let later = fixture.play(Duration::from_millis(60), 500, SECOND * 3);
    assert!(later < first, "{later} of {first}");
    assert!(later > 0.0);
}

#[test]
fn excessive_delay() {
    let mut fixture = Fixture::default();
    fixture.play(Duration::from_millis(300), 500, SECOND * 2);
    let share = fixture.play(Duration::from_millis(300), 500, SECOND * 2);
    assert_eq!(share, 0.0);
}

/// After the queue is gone, all connections are admitted again.
#[test]
fn admits_again() {
    let mut fixture = Fixture::default();
    fixture.play(Duration::from_millis(200), 300, SECOND * 5);
    fixture.play(Duration::from_millis(1), 50, SECOND * 10);
    assert!(!fixture.throttle.is_limiting());
    let share = fixture.play(Duration::from_millis(1), 50, SECOND);
    assert_eq!(share, 1.0);
}
