//! Compiles the fault-injection library (`crates/frostturn-shims`), which the laboratory embeds, so that no
//! second build command is needed.

use std::path::PathBuf;
use std::process::Command;

fn main() {
    let source = PathBuf::from("../frostturn-shims/src");
    println!("cargo:rerun-if-changed={}", source.display());
    let variable = |name: &str| std::env::var_os(name).unwrap_or_else(|| panic!("cargo sets {name}"));
    let library = PathBuf::from(variable("OUT_DIR")).join("libfrostturn_shims.so");
    let mut rustc = Command::new(variable("RUSTC"));
    rustc.args(["--edition", "2021", "--crate-type", "cdylib", "--crate-name", "frostturn_shims"]);
    rustc.args(["-C", "opt-level=2", "-C", "panic=abort"]);
    let built = rustc.arg(source.join("lib.rs")).arg("-o").arg(&library).status();
    assert!(built.is_ok_and(|status| status.success()), "cannot build the preloaded library");
}
