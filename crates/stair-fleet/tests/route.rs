//! Tests of the choice of a route by host and path, and of a service by weight.

use std::time::Duration;

use stair_fleet::catalogue::{
    Catalogue,
    Repeat,
    Route,
    Share, //
};

fn route(host: &str, prefix: &str, to: &[(&str, u32)]) -> Route {
    let share = |(service, weight): &(&str, u32)| Share {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        stream: false,
        repeat: Repeat::Never,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        gap: None,
        rank: 0,
        anonymous: false,
        to: to.iter().map(share).collect(),
        attempts: 1,
    }
}

fn catalogue() -> Catalogue {
    let mut catalogue = Catalogue {
        routes: vec![
            route("a.example", "/", &[("root", 1)]),
            route("a.example", "/x/", &[("x", 1)]),
            route("a.example", "/x/y/", &[("xy", 90), ("other", 10)]),
            route("b.example", "/x/", &[("b", 1)]),
        ],
        ..Catalogue::default()
    };
    catalogue.sort();
    catalogue
}

#[test]
fn longest_prefix() {
    let c = catalogue();
    let name = |host, path| c.route(host, path).map(|r| &*r.name);
    assert_eq!(name("a.example", "/x/y/z"), Some("/x/y/"));
    assert_eq!(name("a.example", "/x/z"), Some("/x/"));
    assert_eq!(name("a.example", "/z"), Some("/"));
    assert_eq!(name("b.example", "/x/y/"), Some("/x/"));
}

#[test]
fn no_match() {
    let c = catalogue();
    assert!(c.route("b.example", "/z").is_none());
    assert!(c.route("c.example", "/x/").is_none());
    // A prefix ends with a slash, so a longer first segment is another path.
    assert!(c.route("b.example", "/xy").is_none());
}

#[test]
fn shares_by_weight() {
    let c = catalogue();
    let r = c.route("a.example", "/x/y/").expect("the route");
    let points = (0..1000).map(|i| f64::from(i) / 1000.0);
    let main = points.filter(|p| r.pick(*p) == "xy").count();
    assert_eq!(main, 900);
    assert_eq!(r.pick(1.0), "other");
}
