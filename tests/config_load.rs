//! Settings: invalid ones must be rejected, with the path and the line of each fault.

use std::path::Path;

use gypsumlever::config::{
    raw::Raw,
    Config,
    Kind,
    Memory,
    Prices,
    Timings, //
};

const SAMPLE: &str = include_str!("../gypsumlever.yaml");

fn secret(_: &str) -> Option<String> {
    Some("only for tests".into())
}

#[test]
fn parse_sample() {
    let config = Config::parse("gypsumlever.yaml", SAMPLE, secret).expect("sample is valid");
    assert_eq!(config.timings, Timings::default());
    assert_eq!(config.memory, Memory::default());
    assert_eq!(config.pools[0].kind, Kind::Model);
    assert_eq!(config.pools[0].model(), Some("saddle-advice"));
    let limits = config.pools[1].limits();
    assert_eq!(limits.total.as_secs(), 30);
    let raw = Raw::parse(SAMPLE).expect("sample is valid");
    assert_eq!(raw.log.appends_per_second, 300);
}

/// An invalid file must be rejected with file, line, path and the valid values.
#[test]
fn parse_table_of_faults() {
    // Text of the sample, its replacement, expected path and message.
    let cases = [
        "cluster: sirag|clutser: sirag|clutser|unknown field",
        "  ping: 1s|  pingg: 1s|timings.pingg|unknown field",
        "  ping: 1s|  ping: soon|timings.ping|duration",
        "  ping: 1s|  ping: 4s|timings.silence|longer than timings.ping",
        "zone: cairo-a\nzones|zone: giza\nzones|zone|cairo-a, cairo-b, cairo-c",
        "instance: entry|instance: 'entry 1'|instance|' '",
        "callers: 127.0.0.1:8080|callers: here|listen.callers|socket address",
        "    kind: model|    kind: modle|pools[0].kind|model, tool, service",
        "    kind: service\n||pools[1]|missing field `kind`",
        "        idempotent: false\n||pools[1].operations[1]|missing field `idempotent`",
        "        zone: cairo-a\n\n# The w|\n# The w|pools[1].upstreams[0]|missing field `zone`",
        "127.0.0.1:8101|workshop:8101|pools[1].upstreams[0].address|10.0.0.7:8000",
        "name: workshop-1|name: engine-1|pools[1].upstreams[0].name|twice",
        "path: /cut-orders|path: cut-orders|pools[1].operations[1].path|begins with /",
        "  partitions: 1|  partitions: 0|log.partitions|at least 1",
        "  partitions: 1|  partitions: -1|log.partitions|u32",
        "  topic: gypsumlever|  tls: {}|log.tls|not supported yet",
        "addresses: [127.0.0.1:8082]|addresses: []|log.addresses|at least one",
    ];
    for case in cases {
        let parts: Vec<_> = case.split('|').collect();
        let [from, to, path, message] = parts[..] else {
            panic!("{case}");
        };
        assert!(SAMPLE.contains(from), "{from}");
        let text = SAMPLE.replacen(from, to, 1);
        let faults = Config::parse("a.yaml", &text, secret).expect_err(to);
        let shown = faults.to_string();
        let fault = &faults.list[0];
        assert_eq!(fault.path, path, "{shown}");
        assert!(fault.message.contains(message), "{shown}");
        let start = shown.split(' ').next().unwrap_or_default();
        assert_eq!(start, format!("a.yaml:{}:", fault.line), "{shown}");
        let key = path.rsplit('.').next().unwrap_or_default();
        let line = text
            .lines()
            .nth(fault.line as usize - 1)
            .unwrap_or_default();
        let item = key.contains('[');
        assert!(item || line.contains(key), "{shown}: {line}");
    }
}

#[test]
fn parse_missing_secret() {
    let faults = Config::parse("a.yaml", SAMPLE, |_| None).expect_err("secret is missing");
    assert_eq!(faults.list[0].path, "peers.secret_env");
    // A secret given instead of the variable's name must not appear in messages.
    let text = SAMPLE.replacen("GYPSUMLEVER_PEER_SECRET", "hunter-2", 1);
    let faults = Config::parse("a.yaml", &text, |_| None).expect_err("no name");
    assert!(!faults.to_string().contains("hunter"), "{faults}");
    let config = Config::parse("a.yaml", SAMPLE, secret).expect("sample is valid");
    assert!(!format!("{config:?}").contains("only for tests"));
}

/// A cost that is rounded down or overflows would let a budget be exceeded.
#[test]
fn cost_rounds_up() {
    let config = Config::parse("a.yaml", SAMPLE, secret).expect("sample is valid");
    let prices = config.pools[0].prices;
    assert_eq!(prices.cost(1, 0).0, 1);
    assert_eq!(prices.cost(1_000, 1_001).0, 150 + 601);
    let expensive = Prices {
        call_micros: u64::MAX,
        ..prices
    };
    assert_eq!(expensive.cost(u64::MAX, u64::MAX).0, u64::MAX);
}

#[test]
fn check_file() {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("gypsumlever.yaml");
    assert!(Config::check(&sample).is_ok());
    let faults = Config::load(Path::new("missing.yaml")).expect_err("no file");
    assert!(
        faults
            .to_string()
            .starts_with("missing.yaml: can't be read: "),
        "{faults}"
    );
}
