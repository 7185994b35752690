//! Compiles the library that a daemon under test is started with (`crates/frostturn-shims`), so that the laboratory
//! carries it and needs no second build command.

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
    assert!(built.is_ok_and(|status| status.success()), "the preloaded library can't be built");
}
