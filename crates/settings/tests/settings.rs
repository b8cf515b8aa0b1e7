//! Parsing and validation of settings and declarations.

use beamtray_settings::{
    Declaration, DeclarationChange, NodeSettings, ServerDeclaration, SettingsError,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_202;

const DECLARATION: &str = r#"
[[service]]
name = "accounts"
[[service.rule]]
method = "GET"
repeatable = true
[[service.server]]
name = "a1"
address = "10.0.0.1:80"
zone = "z1"
[[service.server]]
name = "a2"
address = "10.0.0.2:80"
zone = "z2"
"#;

const SETTINGS: &str = r#"
node = 1
zone = "z1"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
key_value = "127.0.0.1:2379"
"#;

fn declaration() -> Declaration {
    Declaration::parse("test.toml", DECLARATION).expect("valid")
}

fn refusal(text: &str) -> SettingsError {
    Declaration::parse("test.toml", text).expect_err("refused")
}

#[test]
fn a_missing_rule_leaves_only_safe_methods_repeatable() {
    let service = &declaration().services[0];
    assert!(service.is_repeatable("GET", "/x"));
    assert!(!service.is_repeatable("POST", "/x"));
}

#[test]
fn an_unknown_field_is_refused_with_its_line() {
    let text = DECLARATION.replace("name = \"accounts\"", "name = \"accounts\"\nslotz = 3");
    let message = refusal(&text).to_string();
    assert!(message.contains("test.toml"), "{message}");
    assert!(message.contains("slotz"), "{message}");
    assert!(message.contains("line 4"), "{message}");
}

#[test]
fn a_value_out_of_range_names_file_line_field_and_range() {
    let text = DECLARATION.replace("name = \"accounts\"", "name = \"accounts\"\nqueue = 0");
    let message = refusal(&text).to_string();
    assert_eq!(
        message,
        "test.toml:4: service.accounts.queue = 0: allowed is 1 to 100000"
    );
}

#[test]
fn a_service_without_servers_is_refused() {
    let text = "[[service]]\nname = \"accounts\"\n";
    assert!(refusal(text).to_string().contains("at least one server"));
}

#[test]
fn overlapping_pools_are_refused() {
    let text = DECLARATION.replace("10.0.0.2:80", "10.0.0.1:80");
    assert!(refusal(&text).to_string().contains("pools may not overlap"));
}

#[test]
fn a_server_named_twice_is_refused() {
    let text = DECLARATION.replace("\"a2\"", "\"a1\"");
    assert!(
        refusal(&text)
            .to_string()
            .contains("used once over all services")
    );
}

#[test]
fn the_deployments_in_the_tree_are_valid() {
    for name in ["pk-central", "rigas-novads"] {
        let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");
        Declaration::load(&format!("{folder}/{name}.toml")).expect("a valid declaration");
        for node in 1..=3 {
            let file = format!("{folder}/{name}.node-{node}.toml");
            NodeSettings::load(&file).expect("valid settings");
        }
    }
}

#[test]
fn settings_take_defaults_and_refuse_an_unsafe_lease() {
    let settings = NodeSettings::parse("node.toml", SETTINGS).expect("valid");
    assert_eq!(settings.voters, 3);
    let unsafe_lease = format!("{SETTINGS}[timing]\nelection_millis = 600\n");
    let error = NodeSettings::parse("node.toml", &unsafe_lease).expect_err("refused");
    assert_eq!(
        error.to_string(),
        "node.toml:9: election_millis = 600: allowed is more than leader_lease_millis stretched by the drift"
    );
}

#[test]
fn an_unreadable_file_is_named() {
    let error = NodeSettings::load("/nowhere/node.toml").expect_err("refused");
    assert!(
        error
            .to_string()
            .starts_with("/nowhere/node.toml: cannot read")
    );
}

#[test]
fn changed_server_takes_one_change() {
    let old = declaration();
    let mut new = old.clone();
    new.services[0].servers[1].drain = true;
    let changes = old.diff(&new);
    assert!(
        matches!(changes[..], [DeclarationChange::PutServer(..)]),
        "{changes:?}"
    );
    assert_eq!(old.with_changes(&changes), new);
}

#[test]
fn replaced_server_takes_two_changes() {
    let mut old = declaration();
    old.services[0].servers.truncate(1);
    let mut new = old.clone();
    new.services[0].servers[0].name = "b".into();
    let changes = old.diff(&new);
    assert_eq!(changes.len(), 2, "{changes:?}");
}

/// Applying a difference always yields the declaration it was computed for.
#[test]
fn applied_diff_yields_the_next_declaration() {
    fn yields_next(old: Vec<(u8, u8, bool)>, new: Vec<(u8, u8, bool)>) -> bool {
        let (old, new) = (build(&old), build(&new));
        old.with_changes(&old.diff(&new)) == new
    }
    let generator = Gen::from_size_and_seed(12, SEED);
    QuickCheck::new()
        .rng(generator)
        .quickcheck(yields_next as fn(Vec<(u8, u8, bool)>, Vec<(u8, u8, bool)>) -> bool);
}

/// Builds a declaration that distributes the servers over four services.
fn build(servers: &[(u8, u8, bool)]) -> Declaration {
    let template = declaration().services.remove(0);
    let mut built = Declaration::default();
    for (service, server, drain) in servers {
        let name = format!("service-{}", service % 4);
        if built.service(&name.as_str().into()).is_none() {
            let mut service = template.clone();
            service.name = name.as_str().into();
            service.servers.clear();
            built.services.push(service);
        }
        let label = format!("{name}-{server}");
        let service = built.services.iter_mut().find(|s| s.name.as_str() == name);
        let servers = &mut service.expect("just added").servers;
        if servers.iter().all(|known| known.name.as_str() != label) {
            servers.push(ServerDeclaration {
                name: label.as_str().into(),
                drain: *drain,
                ..template.servers[0].clone()
            });
        }
    }
    built
}
