//! Edits of the catalogue: which credentials are valid after them.

use model::{Catalogue, Credential, Edit, Entry, RawEntry};

fn entry(account: &str, secret: &str) -> Entry {
    let raw = RawEntry {
        account: account.into(),
        tier: 0,
        services: vec!["loom-model".into()],
        rate: 1,
        concurrent: 1,
        tokens: 1,
        credential: model::digest(secret.as_bytes()),
    };
    raw.try_into().unwrap()
}

fn edit(put: Vec<Entry>) -> Edit {
    Edit { id: "one".try_into().unwrap(), base: 0, put, remove: vec![] }
}

/// The entry in force has the last of the credentials, so the others must not be valid either.
#[test]
fn edit_with_an_account_twice_is_refused() {
    let twice = vec![entry("north", "first"), entry("north", "second")];
    let error = Catalogue::default().edited(&edit(twice)).unwrap_err();
    assert!(error.to_string().contains("north"), "{error}");
}

#[test]
fn credential_that_an_edit_replaced_is_not_valid() {
    let before = Catalogue::default().edited(&edit(vec![entry("north", "first")])).unwrap();
    let after = before.edited(&edit(vec![entry("north", "second")])).unwrap();
    assert!(after.authenticate(&Credential::from_secret("first")).is_none());
    assert!(after.authenticate(&Credential::from_secret("second")).is_some());
    let entries = after.entries().map(|entry| Entry::clone(entry)).collect();
    assert_eq!(Catalogue::new(after.revision(), entries).unwrap(), after);
}
