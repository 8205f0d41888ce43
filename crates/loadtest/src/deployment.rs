//! Randomly generated deployments that cover everything the protocol and the settings can describe: sizes, classes,
//! work, windows, grace periods and prices up to their limits, and every optional field missing in some of them.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Map, Value};

/// A seeded random number generator with the distributions that deployments and simulations need.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number in `from..to`, uniformly distributed; `from` if the range is empty.
    pub fn uniform(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number in `from..to`, distributed log-uniformly: for sizes and times that span orders of magnitude.
    pub fn log_uniform(&mut self, from: f64, to: f64) -> f64 {
        (from.ln() + (to.ln() - from.ln()) * self.uniform(0.0, 1.0)).exp()
    }

    /// An integer in `from..=to`.
    pub fn integer(&mut self, from: u64, to: u64) -> u64 {
        from + self.0.next_u64() % (to - from + 1)
    }

    /// `true` with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.uniform(0.0, 1.0) < probability
    }

    /// One of the options, each equally likely.
    pub fn pick<'a, T: ?Sized>(&mut self, options: &[&'a T]) -> &'a T {
        options[self.integer(0, options.len() as u64 - 1) as usize]
    }
}

/// Properties of a deployment that its settings do not contain: hosts, work and offered load.
#[derive(Clone, Debug)]
pub struct Environment {
    /// Number of host groups.
    pub groups: u64,
    /// Number of hosts in each group.
    pub hosts_per_group: u64,
    /// Number of zones that hosts are spread over.
    pub zones: u64,
    /// Number of cores of each host.
    pub cores: f64,
    /// Mean work of a request of each class on one core, in milliseconds.
    pub work_ms: Vec<f64>,
    /// Ratio of the offered load to the capacity of all hosts.
    pub load: f64,
}

/// A deployment: the configuration of one gateway and the environment around it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The configuration, as in a gateway's configuration file.
    pub config: Value,
    /// Hosts, work and load, which the configuration does not contain.
    pub environment: Environment,
}

const CONSISTENCIES: [&str; 5] = ["update", "latest", "own_writes", "recent", "loose"];

impl Deployment {
    /// Generates the deployment of a seed.
    pub fn generate(seed: u64) -> Deployment {
        let rng = &mut SeededRng::new(seed);
        let class_count = rng.integer(1, 6) as usize;
        let consistencies: Vec<&str> = (0..class_count).map(|_| rng.pick(&CONSISTENCIES)).collect();
        let (mut classes, mut work_ms) = (Vec::new(), Vec::new());
        for (index, consistency) in consistencies.iter().enumerate() {
            let latency_objective = rng.log_uniform(20.0, 5_000.0);
            work_ms.push(latency_objective * rng.uniform(0.01, 0.6));
            let idempotency = match *consistency {
                "update" => rng.pick(&["idempotency_key", "non_idempotent"]),
                _ => "read_like",
            };
            let mut class = json!({"Name": format!("class-{index}"), "AimMs": latency_objective,
                "DeadlineMs": latency_objective * rng.pick(&[&1.0, &1.5, &5.0]), "Value": rng.pick(&[&0.0, &1.0, &6.0]),
                "Effect": idempotency});
            set_optional(rng, &mut class, "LateWorth", |rng| json!(rng.pick(&[&0.0, &0.2, &1.0])));
            set_optional(rng, &mut class, "Group", |rng| json!(rng.pick(&["all", "zone", "cell"])));
            set_optional(rng, &mut class, "RepeatWindowMs", |rng| {
                json!(rng.pick(&[&0.0, &1_200.0, &5_000.0]))
            });
            set_optional(rng, &mut class, "Streaming", |_| json!(false));
            classes.push(class);
        }
        let mut specifics = json!({"CountedFromMs": 0.0, "NeedsByClass": consistencies,
            "ServerChecks": rng.pick(&["none", "reject", "hold"]),
            "SessionMarks": rng.pick(&["client", "router"])});
        if consistencies.contains(&"recent") || rng.chance(0.5) {
            let bounds: Vec<f64> = consistencies.iter().map(|_| rng.log_uniform(20.0, 5_000.0)).collect();
            specifics["LagAllowedMs"] = json!(bounds);
        }
        set_optional(
            rng,
            &mut specifics,
            "ShowsRole",
            |rng| json!(rng.pick(&["delayed", "initial", "none"])),
        );
        let mut permissions = json!({"SendCap": rng.integer(1, 10)});
        for key in ["Cancelling", "Probing", "ParallelTries", "RetryAfter", "Peers"] {
            set_optional(rng, &mut permissions, key, |rng| json!(rng.chance(0.5)));
        }
        for key in ["MaxRetryAfterMs", "ConnIdleMs", "ConnectTimeoutMs"] {
            set_optional(rng, &mut permissions, key, |rng| json!(rng.pick(&[&0.0, &250.0, &30_000.0])));
        }
        let mut settings = json!({"Balancers": rng.log_uniform(1.0, 301.0) as u64, "Zone": "zone-0",
            "TickMs": rng.log_uniform(0.5, 10.0), "RegistryMode": rng.pick(&["pushed", "on_request"]),
            "Classes": classes, "Specifics": specifics, "Permissions": permissions,
            "Safety": {"ColdFrom": rng.pick(&[&0.05, &0.2, &1.0]), "ColdMs": rng.pick(&[&0.0, &8_000.0, &30_000.0]),
                "FallMs": rng.pick(&[&0.0, &1_500.0, &5_000.0]), "TipMultiple": rng.uniform(1.0, 5.0),
                "StopSendingWithinMs": rng.pick(&[&0.0, &250.0, &2_000.0])}});
        set_optional(rng, &mut settings["Safety"], "DrainBindsAlone", |rng| json!(rng.chance(0.5)));
        set_optional(rng, &mut settings, "OverShareWorth", |_| json!(0.1));
        set_optional(rng, &mut settings, "WorthBy", |rng| json!(rng.pick(&["request", "work"])));
        set_optional(rng, &mut settings, "Tenants", |_| json!([]));
        set_optional(rng, &mut settings, "Deductions", |rng| {
            let mut deductions = Value::Object(Map::new());
            for key in ["CrossZone", "Handshake", "Probe", "Waste", "LateFail"] {
                set_optional(rng, &mut deductions, key, |rng| json!(rng.pick(&[&0.0, &0.01, &1.0])));
            }
            deductions
        });
        // A key that this version does not know: it must be ignored.
        set_optional(rng, &mut settings, "Later", |_| json!({"More": [1, 2]}));
        let config = json!({"name": "drawn", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings});
        let environment = Environment {
            groups: rng.integer(1, 12),
            hosts_per_group: rng.integer(1, 6),
            zones: rng.integer(1, 4),
            cores: rng.log_uniform(1.0, 17.0).floor(),
            work_ms,
            load: rng.uniform(0.2, 1.6),
        };
        Deployment { config, environment }
    }
}

/// Sets a key of an object with a probability of 3/4.
fn set_optional(
    rng: &mut SeededRng,
    object: &mut Value,
    key: &str,
    value: impl FnOnce(&mut SeededRng) -> Value,
) {
    if rng.chance(0.75) {
        object[key] = value(rng);
    }
}
