//! The capacity page: its tables match the committed inputs, values follow the formulas when the size changes, and
//! invalid inputs are rejected with file, line and cause.

use std::path::{Path, PathBuf};

use dunemount_loadtest::capacity::formulas::Formulas;
use dunemount_loadtest::capacity::page::{self, InputTexts, Inputs};
use dunemount_loadtest::capacity::size::DeploymentSize;
use dunemount_loadtest::capacity::slopes::{Point, Slopes};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn committed(name: &str) -> String {
    std::fs::read_to_string(docs().join(name)).unwrap_or_else(|e| panic!("docs/{name}: {e}"))
}

const SLOPES: &str = "slope,size,least,median,most,rounds\n\
    list_bytes,100,900,1000,1100,5\nlist_bytes,200,2000,2000,2000,5\nlist_bytes,300,2900,3000,3100,5\n";
const FORMULAS: &str = "table,id,what,formula,unit,by\n\
    a,whole,A whole list,list_bytes(hosts),bytes,`there`\n\
    a,all,To all,whole * gateways,bytes,missing\n\
    b,unknown,Not known,list_us(hosts) + all,us,`there`\n\
    b,behind,Behind it,unknown * 2.0,us,`there`\n";
const BUDGETS: &str = "what,limit,unit,worked,grows,breaks\n\
    Bytes,room * 2.0,bytes,all,gateways,the network\nTime,1.0,us,behind,gateways,nothing\n";
const SIZE: &str = "[a]\ngateways = 10\nhosts = 150\n[b]\nroom = 20000\n";

fn inputs(size: &str, slopes: &str, formulas: &str, budgets: &str) -> Result<Inputs, String> {
    Inputs::read(&InputTexts {
        size: ("size.ini", size),
        slopes: ("slopes.csv", slopes),
        formulas: ("formulas.csv", formulas),
        budgets: ("budgets.csv", budgets),
    })
}

fn table(inputs: &Inputs, name: &str) -> String {
    let tables = inputs.tables().expect("evaluated");
    tables.into_iter().find(|(table_name, _)| table_name == name).expect("a table").1
}

/// Guards the page against outdated or hand-written values: each table must be the output of `loadtest capacity`.
#[test]
fn the_page_matches_the_committed_inputs() {
    let [size, slopes, formulas, budgets] = ["size.ini", "slopes.csv", "formulas.csv", "budgets.csv"]
        .map(|name| committed(&format!("capacity/{name}")));
    let inputs = inputs(&size, &slopes, &formulas, &budgets).expect("usable");
    let text = committed("CAPACITY.md");
    let updated = page::update(&text, &inputs.tables().expect("evaluated")).expect("a marker for each table");
    for (index, (actual, expected)) in text.lines().zip(updated.lines()).enumerate() {
        assert_eq!(
            actual,
            expected,
            "docs/CAPACITY.md:{}: run `loadtest capacity --page docs/CAPACITY.md`",
            index + 1
        );
    }
    assert_eq!(text, updated, "docs/CAPACITY.md: run `loadtest capacity --page docs/CAPACITY.md`");
}

/// Guards the evaluation: twice the gateways need twice the bytes, and a row without a measured slope stays unknown,
/// as do all rows that depend on it.
#[test]
fn a_doubled_size_gives_the_value_of_the_formula() {
    let slopes = Slopes::read(SLOPES).expect("usable");
    let evaluate_rows = |size: &str| {
        let size = DeploymentSize::read(size).expect("usable");
        let formulas = Formulas::read(FORMULAS, &size).expect("usable");
        let computed = formulas.evaluate(&size, &slopes).expect("evaluated");
        (computed["all"], computed["behind"])
    };
    let (once, behind) = evaluate_rows(SIZE);
    assert_eq!((once.value, once.extrapolation, behind.value), (Some(15_000.0), 1.0, None));
    assert_eq!(evaluate_rows(&SIZE.replace("gateways = 10", "gateways = 20")).0.value, Some(30_000.0));
    // Above the largest measured size the line is extrapolated, and the page gives the factor.
    let (extrapolated, _) = evaluate_rows(&SIZE.replace("hosts = 150", "hosts = 600"));
    assert_eq!(extrapolated.value.map(f64::round), Some(60_000.0));
    let inputs =
        inputs(&SIZE.replace("hosts = 150", "hosts = 600"), SLOPES, FORMULAS, BUDGETS).expect("usable");
    assert!(
        table(&inputs, "a").contains("6,000 bytes, 2 times beyond what was measured"),
        "{}",
        table(&inputs, "a")
    );
    assert!(table(&inputs, "b").contains("| not measured |"));
}

/// Guards the tables of budgets: the share of the limit, the size at which the limit is reached, the largest share
/// first.
#[test]
fn a_budget_shows_its_share_and_the_size_that_reaches_it() {
    let inputs = inputs(SIZE, SLOPES, FORMULAS, BUDGETS).expect("usable");
    let budgets = table(&inputs, "budgets");
    assert!(
        budgets.contains("| Bytes | 40,000 bytes | 15,000 bytes (`all`) | 37.5% | gateways = 26.7 |"),
        "{budgets}"
    );
    assert!(budgets.contains("| Time | 1 us | not measured (`behind`) |"), "{budgets}");
    assert!(table(&inputs, "limits").starts_with("1. Bytes: 0.375 times the budget"));
}

/// Guards against a line through points that do not lie on one: the bend shows it, and the residual is a fraction of
/// the largest median.
#[test]
fn a_bend_is_detected() {
    let point = |size: f64, median: f64| Point {
        slope: "list_us".into(),
        size,
        least: median,
        median,
        most: median,
        rounds: 1,
    };
    let fit = |median_of: fn(f64) -> f64| {
        let mut slopes = Slopes::default();
        slopes
            .replace([63.0, 125.0, 250.0, 500.0, 1_000.0].map(|size| point(size, median_of(size))).to_vec());
        slopes.fit("list_us").expect("a line")
    };
    let straight = fit(|size| 7.0 + 3.0 * size);
    assert!(
        (straight.intercept - 7.0).abs() < 1e-6 && (straight.gradient - 3.0).abs() < 1e-9,
        "{straight:?}"
    );
    assert!(straight.residual < 1e-9 && (straight.bend - 1.0).abs() < 1e-6, "{straight:?}");
    let curved = fit(|size| size * size);
    assert!(curved.residual > 0.05 && curved.bend > 3.0, "{curved:?}");
}

/// Guards authors of input files: each error names its file, its line and its cause, and nothing panics.
#[test]
fn invalid_inputs_are_rejected_with_file_line_and_cause() {
    let error = |size: &str, slopes: &str, formulas: &str, budgets: &str| {
        inputs(size, slopes, formulas, budgets).err().expect("a fault")
    };
    let size = |text: &str| error(text, SLOPES, FORMULAS, BUDGETS);
    assert_eq!(size("[a]\ngateways = many\n"), "size.ini:2: [a] gateways: \"many\" is not a number");
    assert_eq!(size("[a]\ngateways = -1\n"), "size.ini:2: [a] gateways: \"-1\" is negative or not finite");
    assert_eq!(
        size("[a]\ngateways = 1\n[b]\ngateways = 2\n"),
        "size.ini:4: [b] gateways: this name is already set"
    );
    assert_eq!(
        size("[a]\nhosts = 1\n"),
        "formulas.csv:3: gateways: neither a number of the size nor the id of an earlier row"
    );
    let slopes = |text: &str| error(SIZE, text, FORMULAS, BUDGETS);
    let header = "slope,size,least,median,most,rounds\n";
    assert_eq!(
        slopes(&format!("{header}list_byte,1,1,1,1,1\n")),
        "slopes.csv:2: \"list_byte\": unknown slope"
    );
    assert_eq!(
        slopes(&format!("{header}list_bytes,1,2,1,1,1\n")),
        "slopes.csv:2: list_bytes: least, median and most must ascend, and all numbers be finite and not negative"
    );
    assert_eq!(
        slopes(&format!("{header}list_bytes,2,1,1,1,1\nlist_bytes,1,1,1,1,1\n")),
        "slopes.csv:3: list_bytes: sizes must ascend"
    );
    assert!(slopes(&format!("{header}list_bytes,1,x,1,1,1\n")).starts_with("slopes.csv:2: "));
    let formulas = |text: &str| error(SIZE, SLOPES, text, BUDGETS);
    let unbalanced = FORMULAS.replace("whole * gateways", "whole * (gateways");
    assert!(
        formulas(&unbalanced).starts_with("formulas.csv:3: \"whole * (gateways\" is not a valid formula: ")
    );
    let duplicate_id = FORMULAS.replace("a,all,", "a,whole,");
    assert_eq!(formulas(&duplicate_id), "formulas.csv:3: whole: this id is already in use");
    let budgets = |text: &str| error(SIZE, SLOPES, FORMULAS, text);
    assert_eq!(budgets(&BUDGETS.replace(",all,", ",none,")), "budgets.csv:2: none: no formula has this id");
    assert_eq!(
        budgets(&BUDGETS.replace("all,gateways", "all,planets")),
        "budgets.csv:2: planets: not a number of the size"
    );
    let unknown_function =
        inputs(SIZE, SLOPES, &FORMULAS.replace("list_bytes(", "list_byte("), BUDGETS).expect("parsed");
    assert!(unknown_function.tables().expect_err("unknown").starts_with("whole: list_byte(hosts): "));
    let page = |text: &str| {
        page::update(text, &[("a".into(), "x\n".into())]).expect_err("a fault").in_file("page.md").to_string()
    };
    assert_eq!(page("<!-- table: a -->\n"), "page.md:1: table marker without its `<!-- end -->`");
    assert_eq!(page("<!-- table: c -->\n<!-- end -->\n"), "page.md:1: c: unknown table");
    assert_eq!(page("text\n"), "page.md: a: the page has no marker for this table");
}
