//! Whose request it is, by key.

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::workspace::{
    Declared,
    Problem,
    Workspace,
    Workspaces, //
};
use stair_types::KeyDigest;

fn declared(name: u8, rank: Option<u8>, keys: &[u8]) -> Declared {
    Declared {
        workspace: Workspace {
            name: format!("w{name}").into(),
            rank,
            quota: None,
        },
        keys: keys.iter().map(|k| KeyDigest::of(&[*k])).collect(),
    }
}

#[test]
fn one_name_one_key() {
    let twice = vec![declared(1, None, &[1]), declared(1, None, &[2])];
    assert_eq!(
        Workspaces::try_from(twice),
        Err(Problem::Twice("w1".into()))
    );
    let shared = vec![declared(1, None, &[1, 2]), declared(2, None, &[2])];
    let problem = Problem::SharedKey("w1".into(), "w2".into());
    assert_eq!(Workspaces::try_from(shared), Err(problem));
}

#[test]
fn most_urgent_rank() {
    let ranked = Workspaces::try_from(vec![declared(1, Some(3), &[]), declared(2, Some(5), &[])]);
    assert_eq!(ranked.expect("sound").first_rank(0), 3);
    let some = Workspaces::try_from(vec![declared(1, Some(3), &[]), declared(2, None, &[])]);
    let some = some.expect("sound");
    assert_eq!((some.first_rank(0), some.first_rank(9)), (0, 3));
}

#[test]
fn keys_are_not_shown() {
    let all = Workspaces::try_from(vec![declared(1, None, &[7])]).expect("sound");
    let hex = KeyDigest::of(&[7]).hex();
    assert!(!format!("{all:?}").contains(&hex[..8]));
}

proptest! {
    /// A key finds the workspace that a plain search finds, and declarations are refused if and only if a name
    /// stands twice or a key has two workspaces.
    #[test]
    fn as_a_plain_search(all in vec((0..12_u8, vec(0..30_u8, 0..4)), 0..8)) {
        let names: Vec<u8> = all.iter().map(|(n, _)| *n).collect();
        let twice = (1..names.len()).any(|i| names[..i].contains(&names[i]));
        let owners = |k: u8| all.iter().filter(|(_, keys)| keys.contains(&k)).count();
        let shared = (0..30).any(|k| owners(k) > 1);
        let list = all.iter().map(|(n, keys)| declared(*n, None, keys)).collect::<Vec<_>>();
        let built = Workspaces::try_from(list);
        prop_assert_eq!(built.is_err(), twice || shared);
        if let Ok(built) = built {
            for k in 0..30 {
                let found = built.by_key(&KeyDigest::of(&[k])).map(|w| w.name.to_string());
                let expected = all.iter().find(|(_, keys)| keys.contains(&k));
                prop_assert_eq!(found, expected.map(|(n, _)| format!("w{n}")));
            }
        }
    }
}
