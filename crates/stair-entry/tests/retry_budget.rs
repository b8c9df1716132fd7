//! Retries stay a fixed share of the requests.

mod support;

use stair_types::{
    Reason,
    Refusal, //
};
use support::{
    agent::{
        FakeAgent,
        Session, //
    },
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};

const REQUESTS: usize = 200;

// All targets are full for a while. If each refusal were sent on to every other target, the agents
// would get several times the load that was too much already, and callers would wait longer.
#[tokio::test]
async fn retries_bounded() {
    let keys = keys();
    let full = |mut s: Session| async move {
        let refusal = Refusal::not_run(Reason::QueueFull, 500, "full");
        s.refuse(refusal).await;
    };
    let mut agents: Vec<FakeAgent> = ["t1", "t2", "t3", "t4"]
        .iter()
        .map(|name| FakeAgent::start(name, &keys, full))
        .collect();
    let rig = Rig::start(&keys, &agents.iter().collect::<Vec<_>>()).await;

    for _ in 0..REQUESTS {
        let got = rig.post(GOLD, BILLED, &[]).await;
        assert_eq!(got.status.as_u16(), 429);
        assert_eq!(&*got.verdict, "not-run");
    }

    let offers: usize = agents.iter_mut().map(|a| a.rest().len()).sum();
    // A tenth of the requests.
    let most = REQUESTS + REQUESTS / 10;
    assert!(offers <= most, "{REQUESTS} requests became {offers} offers");
}
