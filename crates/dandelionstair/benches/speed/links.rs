//! Memory that an idle link costs an entry.

use stair_link::{
    Dialer,
    link::Probing, //
};

use crate::{
    instant_engine,
    proc,
    support::LIMIT,
    world, //
};

const STEPS: [usize; 4] = [0, 250, 500, 1_000];

pub(crate) async fn measure() {
    let world = world(instant_engine()).await;
    let entry = &world.entries[0];
    let dialer = Dialer::new(&world.link_keys(), LIMIT).expect("the keys are good");
    println!("## An idle link\n");
    println!("| links | entry's resident memory, MiB | KiB a link since the row before |");
    println!("| --- | --- | --- |");
    let mut links = Vec::new();
    let mut before = 0;
    for step in STEPS {
        let opened = step - links.len();
        while links.len() < step {
            let link = dialer.connect(entry.link, Probing::CONTROL).await;
            links.push(link.expect("the entry takes links"));
        }
        let resident = proc::resident(entry.process.id());
        let each = match opened {
            0 => "-".to_owned(),
            n => format!("{:.1}", (resident - before) as f64 / 1024.0 / n as f64),
        };
        println!(
            "| {step} | {:.1} | {each} |",
            resident as f64 / f64::from(1 << 20)
        );
        before = resident;
    }
    println!();
}
