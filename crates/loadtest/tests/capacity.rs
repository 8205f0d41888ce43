//! The capacity page: its tables are what the committed inputs give, a size that is doubled gives what the formula says,
//! and inputs that cannot be used are told by place and cause.

use std::path::{Path, PathBuf};

use dunemount_loadtest::capacity::formulas::Formulas;
use dunemount_loadtest::capacity::page::{self, Inputs, Texts};
use dunemount_loadtest::capacity::size::Size;
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
    Inputs::read(&Texts {
        size: ("size.ini", size),
        slopes: ("slopes.csv", slopes),
        formulas: ("formulas.csv", formulas),
        budgets: ("budgets.csv", budgets),
    })
}

fn table(inputs: &Inputs, name: &str) -> String {
    let tables = inputs.tables().expect("worked out");
    tables.into_iter().find(|(known, _)| known == name).expect("a table").1
}

/// Guards the page against figures that nobody worked out: each table is what `loadtest capacity` gives.
#[test]
fn the_page_is_what_the_committed_inputs_give() {
    let [size, slopes, formulas, budgets] = ["size.ini", "slopes.csv", "formulas.csv", "budgets.csv"]
        .map(|name| committed(&format!("capacity/{name}")));
    let inputs = inputs(&size, &slopes, &formulas, &budgets).expect("usable");
    let text = committed("CAPACITY.md");
    let renewed = page::renew(&text, &inputs.tables().expect("worked out")).expect("a mark for each table");
    for (at, (is, gives)) in text.lines().zip(renewed.lines()).enumerate() {
        assert_eq!(is, gives, "docs/CAPACITY.md:{}: run `loadtest capacity --page docs/CAPACITY.md`", at + 1);
    }
    assert_eq!(text, renewed, "docs/CAPACITY.md: run `loadtest capacity --page docs/CAPACITY.md`");
}

/// Guards the sums: twice the gateways is twice the bytes, and what was not measured stays unknown, with all behind it.
#[test]
fn a_size_that_is_doubled_gives_what_the_formula_says() {
    let slopes = Slopes::read(SLOPES).expect("usable");
    let all = |size: &str| {
        let size = Size::read(size).expect("usable");
        let formulas = Formulas::read(FORMULAS, &size).expect("usable");
        let worked = formulas.work(&size, &slopes).expect("worked out");
        (worked["all"], worked["behind"])
    };
    let (once, behind) = all(SIZE);
    assert_eq!((once.value, once.beyond, behind.value), (Some(15_000.0), 1.0, None));
    assert_eq!(all(&SIZE.replace("gateways = 10", "gateways = 20")).0.value, Some(30_000.0));
    // Beyond what was measured the line goes on, and the page says by what factor.
    let (far, _) = all(&SIZE.replace("hosts = 150", "hosts = 600"));
    assert_eq!(far.value.map(f64::round), Some(60_000.0));
    let inputs =
        inputs(&SIZE.replace("hosts = 150", "hosts = 600"), SLOPES, FORMULAS, BUDGETS).expect("usable");
    assert!(
        table(&inputs, "a").contains("6,000 bytes, 2 times beyond what was measured"),
        "{}",
        table(&inputs, "a")
    );
    assert!(table(&inputs, "b").contains("| not measured |"));
}

/// Guards the judgement of budgets: share, the size at which each is reached, the largest first.
#[test]
fn a_budget_says_its_share_and_where_it_is_reached() {
    let inputs = inputs(SIZE, SLOPES, FORMULAS, BUDGETS).expect("usable");
    let budgets = table(&inputs, "budgets");
    assert!(
        budgets.contains("| Bytes | 40,000 bytes | 15,000 bytes (`all`) | 37.5% | gateways = 26.7 |"),
        "{budgets}"
    );
    assert!(budgets.contains("| Time | 1 us | not measured (`behind`) |"), "{budgets}");
    assert!(table(&inputs, "limits").starts_with("1. Bytes: 0.375 times the budget"));
}

/// Guards against a line through what is none: a bend is found, and the residual is of the largest median.
#[test]
fn a_bend_is_found() {
    let point = |size: f64, median: f64| Point {
        slope: "list_us".into(),
        size,
        least: median,
        median,
        most: median,
        rounds: 1,
    };
    let fit = |of: fn(f64) -> f64| {
        let mut slopes = Slopes::default();
        slopes.renew([63.0, 125.0, 250.0, 500.0, 1_000.0].map(|size| point(size, of(size))).to_vec());
        slopes.fit("list_us").expect("a line")
    };
    let straight = fit(|size| 7.0 + 3.0 * size);
    assert!((straight.base - 7.0).abs() < 1e-6 && (straight.per - 3.0).abs() < 1e-9, "{straight:?}");
    assert!(straight.residual < 1e-9 && (straight.bend - 1.0).abs() < 1e-6, "{straight:?}");
    let bent = fit(|size| size * size);
    assert!(bent.residual > 0.05 && bent.bend > 3.0, "{bent:?}");
}

/// Guards whoever writes inputs: each fault is told with its file, its line and its cause, and nothing panics.
#[test]
fn bad_inputs_are_told_by_place_and_cause() {
    let fault = |size: &str, slopes: &str, formulas: &str, budgets: &str| {
        inputs(size, slopes, formulas, budgets).err().expect("a fault")
    };
    let size = |text: &str| fault(text, SLOPES, FORMULAS, BUDGETS);
    assert_eq!(size("[a]\ngateways = many\n"), "size.ini:2: [a] gateways: \"many\" is no number");
    assert_eq!(size("[a]\ngateways = -1\n"), "size.ini:2: [a] gateways: \"-1\" is not finite, or below zero");
    assert_eq!(size("[a]\ngateways = 1\n[b]\ngateways = 2\n"), "size.ini:4: [b] gateways: set twice");
    assert_eq!(
        size("[a]\nhosts = 1\n"),
        "formulas.csv:3: gateways: neither in the size nor worked out above"
    );
    let slopes = |text: &str| fault(SIZE, text, FORMULAS, BUDGETS);
    let head = "slope,size,least,median,most,rounds\n";
    assert_eq!(slopes(&format!("{head}list_byte,1,1,1,1,1\n")), "slopes.csv:2: \"list_byte\": no such slope");
    assert_eq!(
        slopes(&format!("{head}list_bytes,1,2,1,1,1\n")),
        "slopes.csv:2: list_bytes: figures out of order"
    );
    assert_eq!(
        slopes(&format!("{head}list_bytes,2,1,1,1,1\nlist_bytes,1,1,1,1,1\n")),
        "slopes.csv:3: list_bytes: sizes do not rise"
    );
    assert!(slopes(&format!("{head}list_bytes,1,x,1,1,1\n")).starts_with("slopes.csv:2: "));
    let formulas = |text: &str| fault(SIZE, SLOPES, text, BUDGETS);
    let broken = FORMULAS.replace("whole * gateways", "whole * (gateways");
    assert!(formulas(&broken).starts_with("formulas.csv:3: \"whole * (gateways\" is no formula: "));
    let twice = FORMULAS.replace("a,all,", "a,whole,");
    assert_eq!(formulas(&twice), "formulas.csv:3: whole: stands there already");
    let budgets = |text: &str| fault(SIZE, SLOPES, FORMULAS, text);
    assert_eq!(budgets(&BUDGETS.replace(",all,", ",none,")), "budgets.csv:2: none: no such row");
    assert_eq!(
        budgets(&BUDGETS.replace("all,gateways", "all,planets")),
        "budgets.csv:2: planets: not in the size"
    );
    let unknown =
        inputs(SIZE, SLOPES, &FORMULAS.replace("list_bytes(", "list_byte("), BUDGETS).expect("parsed");
    assert!(unknown.tables().expect_err("unknown").starts_with("whole: list_byte(hosts): "));
    let page = |text: &str| {
        page::renew(text, &[("a".into(), "x\n".into())]).expect_err("a fault").in_file("page.md").to_string()
    };
    assert_eq!(page("<!-- table: a -->\n"), "page.md:1: a table's mark without its end");
    assert_eq!(page("<!-- table: c -->\n<!-- end -->\n"), "page.md:1: c: no such table");
    assert_eq!(page("text\n"), "page.md: a: no mark for this table");
}
