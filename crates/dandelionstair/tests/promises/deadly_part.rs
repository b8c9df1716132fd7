//! A part of many prompts ends each engine that runs one of them.

use std::time::{
    Duration,
    Instant, //
};

use tokio::{
    task::JoinSet,
    time::sleep, //
};

use crate::{
    quarantine::{
        CONTACT_TIME,
        DEADLY,
        MAX_RETRIES,
        callers,
        deadly_runs,
        end_engines,
        is_quarantined, //
    },
    support::{
        Ask, Caller, Options, World,
        world::{
            BATCH_KEY,
            ModelSpec, //
        },
    },
};

/// Ends of engines after which all entries have to refuse the part within [`CONTACT_TIME`].
const ENDS: usize = 5;

/// Text of the part.
const PART: &str = "the part that ends engines";

/// Length of a response, a millisecond each: longer than it takes to end the engine.
const TOKENS: u32 = 150;

const HEAD_START: Duration = Duration::from_secs(2);

/// Time for which requests with the part are sent.
const DURATION: Duration = Duration::from_secs(14);

/// Time after the fifth end from which sound requests must be answered as before.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

struct Sound {
    sent: Instant,
    answered: bool,
    quarantined: bool,
}

/// A sound request: a template, a subject, and the request's own message.
fn sound(n: usize) -> Ask {
    let (template, subject) = (format!("template {}", n % 2), format!("subject {}", n % 8));
    Ask::chat("m", &[&template, &subject], &format!("sound-{n}"), TOKENS)
}

/// A request with the part at this place.
fn deadly(n: usize, place: usize) -> Ask {
    let (template, subject) = (format!("template {}", n % 2), format!("subject {}", n % 8));
    let mut shared = vec![&*template, &*subject];
    shared.insert(place, PART);
    Ask::chat("m", &shared, &format!("{DEADLY}-{n}"), TOKENS)
}

async fn send_sound(caller: Caller, n: usize) -> Sound {
    let sent = Instant::now();
    let answer = caller.ask(&sound(n).within(Duration::from_secs(2))).await;
    Sound {
        sent,
        answered: answer.is_answered(),
        quarantined: is_quarantined(&answer),
    }
}

async fn send(callers: &[Caller], place: usize, keys: &[&str]) -> Vec<Sound> {
    let begun = Instant::now();
    let (mut all, mut dropped) = (JoinSet::new(), JoinSet::new());
    let mut n = 0;
    while begun.elapsed() < HEAD_START + DURATION {
        let caller = callers[n % callers.len()].clone();
        all.spawn(send_sound(caller, n));
        if begun.elapsed() > HEAD_START && n.is_multiple_of(5) {
            let caller = callers[n / 5 % callers.len()].clone();
            let ask = deadly(n, place).within(Duration::from_secs(2));
            let ask = ask.key(keys[n / 5 % keys.len()]);
            dropped.spawn(async move { caller.ask(&ask).await });
        }
        n += 1;
        sleep(Duration::from_millis(50)).await;
    }
    dropped.join_all().await;
    all.join_all().await
}

/// Sends sound requests and those with the part, and checks both.
async fn play(place: usize, keys: &[&str]) {
    let world = World::start(Options {
        engines: 4,
        models: vec![ModelSpec::new("m", 4)],
        ..Options::default()
    })
    .await;
    let callers = callers(&world);
    let begun = Instant::now();
    let sound = tokio::select! {
        () = end_engines(&world, None, deadly_runs) => unreachable!("it goes on"),
        sound = send(&callers, place, keys) => sound,
    };
    let runs = deadly_runs(&world.recorder);
    let at = runs.get(ENDS - 1).or(runs.last()).map_or(begun, |r| r.1);
    let late = runs.iter().filter(|r| r.1 > at + CONTACT_TIME).count();
    let share = |within: &dyn Fn(Instant) -> bool| {
        let all: Vec<_> = sound.iter().filter(|s| within(s.sent)).collect();
        let answered = all.iter().filter(|s| s.answered).count();
        answered as f64 / all.len().max(1) as f64
    };
    let before = share(&|t| t < begun + HEAD_START);
    let after = share(&|t| t > at + RECOVERY_TIME);
    let refused = sound.iter().filter(|s| s.quarantined).count();
    println!(
        "place {place}: {late} late of {} runs, sound {after} of {before}, {refused} refused",
        runs.len()
    );
    assert!(late <= MAX_RETRIES, "{late} of {}", runs.len());
    assert!(after >= before / 2.0, "{after} of {before}");
    assert_eq!(refused, 0);
}

// Requests share one message and nothing else that is not sound, and end engine after engine.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_part_at_agents() {
    play(1, &[crate::support::world::INTERACTIVE_KEY]).await;
}

// The part stands first, and two callers send it.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_part_of_two_callers() {
    play(0, &[crate::support::world::INTERACTIVE_KEY, BATCH_KEY]).await;
}
