//! Tests of the command line and of the settings file, through the program itself.

use std::path::PathBuf;
use std::process::{Command, Output};

use dunemount::settings_file::LocalSettings;

fn example() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/config.json")
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
    command.env_remove("GW_CONFIG").env_remove("GW_SETTINGS").args(args).output().expect("it starts")
}

/// Guards the settings file: a key that is unknown, of the wrong type or out of range is reported with its line, and so
/// is a line that is not INI.
#[test]
fn each_error_in_the_settings_is_reported_with_its_line() {
    let many: Vec<String> = (0..17).map(|n| format!("z/c-{n}@127.0.0.1:{}", n + 1)).collect();
    let many = format!("[control]\nmachines = {}", many.join(", "));
    for (text, line, expected) in [
        ("[cores]\ncount = 0\n", 2, "out of range (1 to"),
        ("[cores]\ncount = 65000", 2, "out of range"),
        ("[cores]\ncount = two", 2, "no whole number"),
        ("[cores]\ncount = -1", 2, "no whole number"),
        ("[cores]\ncount =", 2, "no whole number"),
        ("; first\n\n[cores]\nnumber = 1", 4, "no such key"),
        ("[cores]\ncount = 1\n[core]\ncount = 1", 3, "no such section"),
        ("count = 1", 1, "no such key"),
        ("[cores]\ncount = 1\ncount = 1", 3, "set twice"),
        ("[cores]\ncount = 1\n[cores]\ncount = 1", 4, "set twice"),
        ("[cores]\ncount\n[cores]", 2, "neither"),
        ("[cores\ncount = 1", 1, "neither"),
        ("[fleet]\nname =", 2, "empty"),
        ("[fleet]\nname = shop", 1, "listen: missing"),
        ("[fleet]\nname = shop\nlisten = 127.0.0.1:7400", 1, "voters: missing"),
        ("[fleet]\nlisten = 7400", 2, "no address with a port"),
        ("[fleet]\nvoters = a@127.0.0.1:1, b@127.0.0.1:2", 2, "1, 3, 5 or 7"),
        ("[fleet]\nvoters = 127.0.0.1:1", 2, "is not NAME@ADDRESS:PORT"),
        ("[fleet]\nvoters = a@127.0.0.1:1, a@127.0.0.1:2, c@127.0.0.1:3", 2, "stands there already"),
        ("[fleet]\n\nlease_ms = 299", 3, "out of range (300 to"),
        ("[fleet]\nsize = many", 2, "no whole number"),
        ("[fleet]\nname = shop\nlisten = 127.0.0.1:1\nvoters = a@127.0.0.1:1\nlease_ms = 400\nprobe_ms = 500", 1,
            "shorter than probe_ms"),
        ("[control]\nmachines =", 2, "is not ZONE/NAME@ADDRESS:PORT"),
        ("[control]\nmachines = a@127.0.0.1:1", 2, "is not ZONE/NAME@ADDRESS:PORT"),
        ("[control]\nmachines = z/a", 2, "is not NAME@ADDRESS:PORT"),
        ("[control]\nmachines = /a@127.0.0.1:1", 2, "a zone's name is empty"),
        ("[control]\nmachines = z/@127.0.0.1:1", 2, "name is empty"),
        ("[control]\nmachines = z/a@here:1", 2, "no address with a port"),
        ("[control]\nmachines = z/a@127.0.0.1:1, y/a@127.0.0.1:2", 2, "stands there already"),
        ("[control]\nmachines = z/a@127.0.0.1:1, y/b@127.0.0.1:1", 2, "stands there already"),
        (&many, 2, "17 machines, 16 at most"),
        ("[control]\n\nzone =", 3, "a zone's name is empty"),
        ("[control]\nfile =", 2, "a path is empty"),
        ("[control]\nmachine = z/a@127.0.0.1:1", 2, "no such key"),
        ("[cores]\n[control]\nmachines = z/a@127.0.0.1:1", 2, "[fleet] name is missing"),
    ] {
        let error = LocalSettings::parse(text).expect_err(text);
        assert_eq!(error.line, line, "{text:?}: {error}");
        assert!(error.error.to_string().contains(expected), "{text:?}: {error}");
    }
    let text = "[fleet]\nname = shop\nlisten = 127.0.0.1:1\nvoters = a@127.0.0.1:1";
    let fleet = LocalSettings::parse(text).expect("valid without the file").fleet;
    assert!(fleet.voter("a").is_err_and(|why| why.to_string().contains("file: missing")));
    assert_eq!(fleet.voter("b"), Ok(None), "a gateway that is no voter needs no file");
    for text in ["", "[cores]", "# a word\n[cores]\n  count : 1  \n"] {
        assert_eq!(LocalSettings::parse(text), Ok(LocalSettings::default()), "{text:?}");
    }
}

/// Guards `[control]`: a gateway that is to follow control machines does not start without its zone or its file, nor
/// does a control machine that the settings do not name or that has no file. `check` reports the same errors. Without
/// machines no other key is required.
#[test]
fn missing_settings_for_control_machines_are_reported_with_their_line() {
    let folder = std::env::temp_dir().join(format!("dunemount-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (ini, long) = (folder.join("some.ini"), folder.join("long.json"));
    let (ini_name, long_name) = (ini.to_str().expect("a path"), long.to_str().expect("a path"));
    let example = example();
    let good = example.to_str().expect("a path");
    let fleet = "[fleet]\nname = shop\nlisten = 127.0.0.1:0\nvoters = c@127.0.0.1:1\n";
    let control = format!("{fleet}[control]\nmachines = z/c@127.0.0.1:1\n");
    let text = std::fs::read_to_string(&example).expect("the example");
    std::fs::write(&long, text.replace("\"toy\"", &format!("\"{}\"", "t".repeat(65)))).expect("written");
    for (rest, what) in
        [("", "zone: missing"), ("zone = z\n", "file: missing"), ("file = f\n", "zone: missing")]
    {
        std::fs::write(&ini, format!("{control}{rest}")).expect("written");
        for command in ["check", "serve"] {
            let output = run(&[command, "--config", good, "--settings", ini_name]);
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            let wanted = format!("some.ini:5: [control] {what}");
            assert!(!output.status.success() && stderr.contains(&wanted), "{command}: {stderr}");
        }
    }
    std::fs::write(&ini, format!("{control}zone = z\nfile = f\n")).expect("written");
    let output = run(&["check", "--config", long_name, "--settings", ini_name]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains("some.ini:5: [control] machines: the gateway's name of 65 bytes, 64 at most"),
        "{stderr}"
    );
    assert!(run(&["check", "--config", good, "--settings", ini_name]).status.success());
    let output = run(&["fleet", "control", "--name", "d", "--settings", ini_name]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("d is none of [control] machines"));
    std::fs::write(&ini, control).expect("written");
    let output = run(&["fleet", "control", "--name", "c", "--settings", ini_name]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("some.ini:5: [control] file: missing"), "{stderr}");
    std::fs::write(&ini, format!("{fleet}[control]\n")).expect("written");
    assert!(run(&["check", "--config", good, "--settings", ini_name]).status.success());
    for what in [&["show"][..], &["status"], &["put", good]] {
        let output = run(&[&["fleet", "config"][..], what, &["--settings", ini_name]].concat());
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains("[control] machines: none"),
            "{what:?}: {stderr}"
        );
    }
    std::fs::remove_dir_all(folder).expect("removed");
}

/// Guards the shipped settings file: its values are the defaults of a start without a file.
#[test]
fn the_shipped_settings_are_the_defaults() {
    let shipped = include_str!("../deploy/dunemount.ini");
    assert_eq!(LocalSettings::parse(shipped), Ok(LocalSettings::default()));
    for key in ["[cores]", "count = ", "[control]", "machines = ", "zone = "] {
        assert!(shipped.contains(key), "{key} is shown");
    }
}

/// Guards `check`: it reads both files as a start does, reports the first error with file and line, and sets the exit
/// status.
#[test]
fn check_reports_the_file_and_the_line() {
    let example = example();
    let good = example.to_str().expect("a path");
    let output = run(&["check", "--config", good]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("4 classes"));
    let folder = std::env::temp_dir().join(format!("dunemount-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = std::fs::read_to_string(&example).expect("the example");
    let (bad, ini) = (folder.join("bad.json"), folder.join("bad.ini"));
    let (bad_name, ini_name) = (bad.to_str().expect("a path"), ini.to_str().expect("a path"));
    for (old, new, line) in [
        ("\"AimMs\": 500.0", "\"AimMs\": 0", 16),
        ("8c1f30d27a5be964", "xyz", 6),
        ("\"127.0.0.1:6543\"", "\"nowhere\"", 3),
        ("\"127.0.0.1:9800\"", "\"nowhere\"", 4),
        ("\"127.0.0.1:8500\"", "\"nowhere\"", 5),
        ("13000.0", "\"x\"", 27),
        ("\"recent\", ", "", 22),
        ("{\"Name\": \"own-read\"", "{\"Name\": \"page-read\"", 15),
    ] {
        assert!(text.contains(old), "{old}");
        std::fs::write(&bad, text.replacen(old, new, 1)).expect("written");
        let output = run(&["check", "--config", bad_name]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && stderr.lines().count() == 1, "{stderr}");
        assert!(stderr.contains(&format!("bad.json:{line}: ")), "{new}: {stderr}");
    }
    std::fs::write(&ini, "[cores]\n\ncount = none\n").expect("written");
    for command in ["check", "serve"] {
        let output = run(&[command, "--config", good, "--settings", ini_name]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains("bad.ini:3: [cores] count"),
            "{command}: {stderr}"
        );
    }
    let output = run(&["check", "--config", folder.join("none.json").to_str().expect("a path")]);
    assert!(!output.status.success());
    std::fs::remove_dir_all(folder).expect("removed");
}

/// Guards `--help`, and the rejection of invalid arguments.
#[test]
fn help_lists_the_commands_and_invalid_arguments_are_rejected() {
    let help = String::from_utf8_lossy(&run(&["--help"]).stdout).into_owned();
    for word in ["serve", "check", "GW_CONFIG", "--settings", "SIGHUP"] {
        assert!(help.contains(word), "{word}");
    }
    assert!(!run(&["frob"]).status.success());
    assert!(!run(&["serve", "--log", "xml"]).status.success());
    assert!(!run(&[]).status.success(), "no configuration is named");
}

/// Guards the complete text of `--help` of each command, which the operators' documentation quotes.
#[test]
fn help_keeps_its_text() {
    for command in [
        &[][..],
        &["serve"],
        &["check"],
        &["fleet"],
        &["fleet", "found"],
        &["fleet", "status"],
        &["fleet", "control"],
        &["fleet", "config"],
        &["fleet", "config", "put"],
        &["fleet", "config", "show"],
        &["fleet", "config", "status"],
    ] {
        let output =
            Command::new(env!("CARGO_BIN_EXE_dunemount")).env_clear().args(command).arg("--help").output();
        let help = String::from_utf8(output.expect("it starts").stdout).expect("text");
        let name = format!("{}-v1.txt", [&["help"], command].concat().join("-"));
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(&name);
        assert_eq!(help, std::fs::read_to_string(path).expect(&name), "{name}");
    }
}

/// Guards the messages of failed starts, word for word. `FOLDER` stands for the test's folder, and `TAKEN` for an
/// address that is in use.
#[test]
fn failed_starts_keep_their_messages() {
    let folder = std::env::temp_dir().join(format!("dunemount-starts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("a path").to_string()
    };
    let example = std::fs::read_to_string(example()).expect("the example");
    let good = file("good.json", &example);
    let bad = file("bad.json", "{\n");
    let nowhere = file("nowhere.json", &example.replace("\"127.0.0.1:6543\"", "\"nowhere\""));
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = taken.local_addr().expect("bound").to_string();
    let busy = file("busy.json", &example.replace("127.0.0.1:6543", &taken));
    let fleet = "[fleet]\nname = shop\nlisten = 127.0.0.1:1\n";
    let voter = file("voter.ini", &format!("{fleet}voters = toy@127.0.0.1:1\n"));
    let other = file("other.ini", &format!("{fleet}voters = gw@127.0.0.1:1\n"));
    let lost = file("lost.ini", &format!("{fleet}voters = toy@127.0.0.1:1\nfile = /dev/null/voter\n"));
    let none = folder.join("none").to_str().expect("a path").to_string();
    let mut transcript = String::new();
    for (args, variables) in [
        (vec![], &[][..]),
        (vec!["check"], &[]),
        (vec!["check", "--config", &none], &[]),
        (vec!["check", "--config", &bad], &[]),
        (vec!["check", "--config", &nowhere], &[]),
        (vec!["check", "--config", &good, "--settings", &none], &[]),
        (vec!["check", "--config", &good, "--settings", &voter], &[]),
        (vec!["serve", "--config", &none], &[]),
        (vec!["serve", "--config", &bad], &[]),
        (vec!["serve", "--config", &nowhere], &[]),
        (vec!["serve", "--config", &good], &[("GW_LISTEN", "here")]),
        (vec!["serve", "--config", &good], &[("GW_DISCOVERY", "here")]),
        (vec!["serve", "--config", &good], &[("GW_ADMIN_ADDR", "here")]),
        (vec!["serve", "--config", &good, "--settings", &none], &[]),
        (vec!["serve", "--config", &good, "--settings", &voter], &[]),
        (vec!["serve", "--config", &busy], &[]),
        (vec!["fleet", "found"], &[]),
        (vec!["fleet", "found", "--config", &none], &[]),
        (vec!["fleet", "found", "--config", &bad], &[]),
        (vec!["fleet", "found", "--config", &good], &[]),
        (vec!["fleet", "found", "--config", &good, "--settings", &other], &[]),
        (vec!["fleet", "found", "--config", &good, "--settings", &voter], &[]),
        (vec!["fleet", "found", "--config", &good, "--settings", &lost], &[]),
        (vec!["fleet", "control", "--name", "c", "--settings", &other], &[]),
        (vec!["fleet", "config", "show"], &[]),
        (vec!["fleet", "config", "put", &good], &[]),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        let output =
            command.env_clear().envs(variables.iter().copied()).args(&args).output().expect("it starts");
        assert_eq!((output.status.code(), output.stdout.len()), (Some(1), 0), "{args:?}");
        transcript += &format!("{} {variables:?}\n", args.join(" "));
        transcript += std::str::from_utf8(&output.stderr).expect("text");
    }
    transcript = transcript.replace(folder.to_str().expect("a path"), "FOLDER").replace(&taken, "TAKEN");
    assert_eq!(transcript, include_str!("fixtures/start-faults-v1.txt"));
    std::fs::remove_dir_all(folder).expect("removed");
}

/// Guards the log's JSON format: each line, including the last one, is an object with its message and fields.
#[test]
fn json_lines_are_objects() {
    use std::io::{BufRead, BufReader, Read};
    let text = std::fs::read_to_string(example()).expect("the example");
    let text = ["127.0.0.1:6543", "127.0.0.1:9800"].iter().fold(text, |t, a| t.replace(a, "127.0.0.1:0"));
    let path = std::env::temp_dir().join(format!("dunemount-json-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_dunemount"))
        .args(["serve", "--log", "json", "--config", path.to_str().expect("a path")])
        .env_remove("TMPDIR")
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(gateway.stdout.take().expect("its output"));
    let mut first = String::new();
    lines.read_line(&mut first).expect("a line");
    signal(gateway.id());
    let mut rest = String::new();
    lines.read_to_string(&mut rest).expect("the rest");
    assert!(gateway.wait().expect("it ends").success());
    std::fs::remove_file(path).expect("removed");
    let mut messages = Vec::new();
    for line in first.lines().chain(rest.lines()) {
        let value: serde_json::Value = serde_json::from_str(line).expect(line);
        assert_eq!(value["gateway"], "toy");
        messages.push(value["msg"].as_str().expect("a message").to_string());
    }
    assert!(messages.contains(&"listening".to_string()) && messages.contains(&"ended".to_string()));
}

/// Sends SIGTERM to a process that this test started.
fn signal(id: u32) {
    let id = rustix::process::Pid::from_raw(id as i32).expect("a process");
    rustix::process::kill_process(id, rustix::process::Signal::TERM).expect("sent");
}
