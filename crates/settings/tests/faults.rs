//! Tests that validation reports every fault of a settings file with its key and its line.

use expect_test::expect;

fn report(text: &str) -> String {
    match settings::parse(text) {
        Ok(_) => "valid".into(),
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n") + "\n"
        }
    }
}

#[test]
fn example_is_valid() {
    assert_eq!(report(settings::EXAMPLE), "valid");
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = r#"
vm = "vm 1"
zone = 7
callers = "localhost"
admin = "127.0.0.1:1"
founders = ["vm-1", "vm-9"]
max_body = 0
colour = "red"
[[peers]]
vm = "vm-2"
zone = "zone-b"
address = "127.0.0.1:2"
port = 3
[waits]
idle_ms = "long"
[secrets]
cluster = "short"
admin = ""
"#;
    expect![[r#"
        line 8: colour: unknown key
        line 2: vm: VM name "vm 1" must be 1 to 128 of the characters a-z, A-Z, 0-9, '.', '_' and '-'
        line 3: zone: must be a string
        line 4: callers: "localhost" is not an address like 127.0.0.1:8080
        peers_listen: missing
        line 7: max_body: 0 is not a number above 0
        line 13: peers[0].port: unknown key
        line 6: founders: vm-1 is not among the peers
        line 6: founders: vm-9 is not among the peers
        line 6: founders: must be an odd number of entry VMs: an even one survives no more failures
        line 15: waits.idle_ms: "long" is not a number above 0
        line 17: secrets.cluster: must have at least 16 bytes
        line 18: secrets.admin: must have at least 1 bytes
        secrets.announce: missing
    "#]]
    .assert_eq(&report(text));
}

#[test]
fn syntax_fault_has_its_line() {
    expect![[r"
        line 2: (syntax): string values must be quoted, expected literal string
    "]]
    .assert_eq(&report("vm = \"a\"\nzone = b\n"));
}

#[test]
fn duplicate_vm_names_are_reported() {
    let text = settings::EXAMPLE.replace("vm = \"vm-3\"", "vm = \"vm-2\"");
    expect![[r"
        line 15: founders: vm-3 is not among the peers
        line 15: founders: must be an odd number of entry VMs: an even one survives no more failures
        peers: vm-2 occurs twice
    "]]
    .assert_eq(&report(&text));
}
