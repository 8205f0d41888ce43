//! Deployments drawn at random over all that the protocol pages and the settings can describe: sizes, classes,
//! works, windows, graces and prices up to their ends, and every optional field missing in some draw.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Map, Value};

/// A seeded generator of numbers in the shapes that draws need.
pub struct Dice(Pcg64Mcg);

impl Dice {
    /// The dice of a seed.
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number in `from..to`; `from` where there is none between.
    pub fn uniform(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number in `from..to`, each factor as likely as any other: for sizes and times over decades.
    pub fn scale(&mut self, from: f64, to: f64) -> f64 {
        (from.ln() + (to.ln() - from.ln()) * self.uniform(0.0, 1.0)).exp()
    }

    /// A whole number in `from..=to`.
    pub fn whole(&mut self, from: u64, to: u64) -> u64 {
        from + self.0.next_u64() % (to - from + 1)
    }

    /// Whether something of this probability happens.
    pub fn chance(&mut self, part: f64) -> bool {
        self.uniform(0.0, 1.0) < part
    }

    /// One of these.
    pub fn pick<'a, T: ?Sized>(&mut self, of: &[&'a T]) -> &'a T {
        of[self.whole(0, of.len() as u64 - 1) as usize]
    }
}

/// What the settings do not tell of a deployment.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Groups of hosts.
    pub families: u64,
    /// Hosts of each.
    pub members: u64,
    /// Zones that hosts are spread over.
    pub zones: u64,
    /// Cores of a host.
    pub cores: f64,
    /// Work of each class on one core, in milliseconds.
    pub work_ms: Vec<f64>,
    /// Load over the capacity of all hosts.
    pub load: f64,
}

/// A deployment: the platform's configuration of one gateway, and what it does not tell.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The configuration, as the file of a gateway holds it.
    pub config: Value,
    /// What it does not tell.
    pub truth: Truth,
}

const NEEDS: [&str; 5] = ["update", "latest", "own_writes", "recent", "loose"];

impl Deployment {
    /// The deployment of a seed.
    pub fn draw(seed: u64) -> Deployment {
        let dice = &mut Dice::new(seed);
        let count = dice.whole(1, 6) as usize;
        let needs: Vec<&str> = (0..count).map(|_| dice.pick(&NEEDS)).collect();
        let (mut classes, mut work_ms) = (Vec::new(), Vec::new());
        for (index, consistency) in needs.iter().enumerate() {
            let latency_objective = dice.scale(20.0, 5_000.0);
            work_ms.push(latency_objective * dice.uniform(0.01, 0.6));
            let idempotency = match *consistency {
                "update" => dice.pick(&["idempotency_key", "non_idempotent"]),
                _ => "read_like",
            };
            let mut class = json!({"Name": format!("class-{index}"), "AimMs": latency_objective,
                "DeadlineMs": latency_objective * dice.pick(&[&1.0, &1.5, &5.0]), "Value": dice.pick(&[&0.0, &1.0, &6.0]),
                "Effect": idempotency});
            maybe(dice, &mut class, "LateWorth", |dice| json!(dice.pick(&[&0.0, &0.2, &1.0])));
            maybe(dice, &mut class, "Group", |dice| json!(dice.pick(&["all", "zone", "cell"])));
            maybe(dice, &mut class, "RepeatWindowMs", |dice| json!(dice.pick(&[&0.0, &1_200.0, &5_000.0])));
            maybe(dice, &mut class, "Streaming", |_| json!(false));
            classes.push(class);
        }
        let mut specifics = json!({"CountedFromMs": 0.0, "NeedsByClass": needs,
            "ServerChecks": dice.pick(&["none", "reject", "hold"]),
            "SessionMarks": dice.pick(&["client", "router"])});
        if needs.contains(&"recent") || dice.chance(0.5) {
            let bounds: Vec<f64> = needs.iter().map(|_| dice.scale(20.0, 5_000.0)).collect();
            specifics["LagAllowedMs"] = json!(bounds);
        }
        maybe(dice, &mut specifics, "ShowsRole", |dice| json!(dice.pick(&["delayed", "initial", "none"])));
        let mut permissions = json!({"SendCap": dice.whole(1, 10)});
        for key in ["Cancelling", "Probing", "ParallelTries", "RetryAfter", "Peers"] {
            maybe(dice, &mut permissions, key, |dice| json!(dice.chance(0.5)));
        }
        for key in ["MaxRetryAfterMs", "ConnIdleMs", "ConnectTimeoutMs"] {
            maybe(dice, &mut permissions, key, |dice| json!(dice.pick(&[&0.0, &250.0, &30_000.0])));
        }
        let mut settings = json!({"Balancers": dice.scale(1.0, 301.0) as u64, "Zone": "zone-0",
            "TickMs": dice.scale(0.5, 10.0), "RegistryMode": dice.pick(&["pushed", "on_request"]),
            "Classes": classes, "Specifics": specifics, "Permissions": permissions,
            "Safety": {"ColdFrom": dice.pick(&[&0.05, &0.2, &1.0]), "ColdMs": dice.pick(&[&0.0, &8_000.0, &30_000.0]),
                "FallMs": dice.pick(&[&0.0, &1_500.0, &5_000.0]), "TipMultiple": dice.uniform(1.0, 5.0),
                "StopSendingWithinMs": dice.pick(&[&0.0, &250.0, &2_000.0])}});
        maybe(dice, &mut settings["Safety"], "DrainBindsAlone", |dice| json!(dice.chance(0.5)));
        maybe(dice, &mut settings, "OverShareWorth", |_| json!(0.1));
        maybe(dice, &mut settings, "WorthBy", |dice| json!(dice.pick(&["request", "work"])));
        maybe(dice, &mut settings, "Tenants", |_| json!([]));
        maybe(dice, &mut settings, "Deductions", |dice| {
            let mut prices = Value::Object(Map::new());
            for key in ["CrossZone", "Handshake", "Probe", "Waste", "LateFail"] {
                maybe(dice, &mut prices, key, |dice| json!(dice.pick(&[&0.0, &0.01, &1.0])));
            }
            prices
        });
        // A key that this version does not know.
        maybe(dice, &mut settings, "Later", |_| json!({"More": [1, 2]}));
        let config = json!({"name": "drawn", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings});
        let truth = Truth {
            families: dice.whole(1, 12),
            members: dice.whole(1, 6),
            zones: dice.whole(1, 4),
            cores: dice.scale(1.0, 17.0).floor(),
            work_ms,
            load: dice.uniform(0.2, 1.6),
        };
        Deployment { config, truth }
    }
}

/// Gives an object a key in three of four draws.
fn maybe(dice: &mut Dice, object: &mut Value, key: &str, value: impl FnOnce(&mut Dice) -> Value) {
    if dice.chance(0.75) {
        object[key] = value(dice);
    }
}
