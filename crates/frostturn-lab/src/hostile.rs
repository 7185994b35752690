//! Hostile plug-ins, as WebAssembly text.

/// Returns a module with this body of `request` and these further fields.
fn program(request: &str, more: &str) -> String {
    format!(
        "(module {more} (memory (export \"memory\") 1) (global (export \"frostturn_version\") i32 (i32.const 1))\n\
         (global (export \"view\") i32 (i32.const 4096)) (global $n (mut i32) (i32.const 0))\n\
         (func $turn (result i32) (global.set $n (i32.add (global.get $n) (i32.const 1))) (global.get $n))\n\
         (func (export \"request\") (param $len i32) (result i64) {request}))\n"
    )
}

/// Returns a module with this function beside a harmless `request`.
fn with_function(function: &str) -> String {
    let whole = program("(i64.const 0)", "");
    let end = whole.rfind(')').unwrap_or(whole.len());
    format!("{} {function})\n", &whole[..end])
}

/// Writes the head of one advice record at address 0.
const FAVOUR: &str = "(i32.store (i32.const 0) (i32.const 0x00040001))";

/// Returns all hostile plug-ins by name.
pub fn all() -> Vec<(&'static str, String)> {
    let favour = |place: &str| {
        program(
            &format!(
                "{FAVOUR} (i32.store16 (i32.const 4) {place}) (i32.store16 (i32.const 6) (i32.const 100)) (i64.const 8)"
            ),
            "",
        )
    };
    // Favours the first machine whose warmth is below 1, if there is one.
    let cold = "(local $at i32) (local $one i32)
        (local.set $one (i32.add (i32.const 4096) (i32.load16_u (i32.const 4102))))
        (block $none (loop $next
          (br_if $none (i32.ge_u (local.get $at) (i32.load16_u (i32.const 4104))))
          (if (f32.lt (f32.load offset=16 (local.get $one)) (f32.const 1)) (then
            (i32.store (i32.const 0) (i32.const 0x00040001))
            (i32.store16 (i32.const 4) (local.get $at)) (i32.store16 (i32.const 6) (i32.const 100))
            (return (i64.const 8))))
          (local.set $one (i32.add (local.get $one) (i32.load16_u (i32.const 4106))))
          (local.set $at (i32.add (local.get $at) (i32.const 1)))
          (br $next)))
        (i64.const 0)";
    let attempts =
        "(i32.store (i32.const 0) (i32.const 0x00020004)) (i32.store16 (i32.const 4) (i32.const 60000))
        (i32.store (i32.const 6) (i32.const 0x00040001)) (i32.store16 (i32.const 10) (i32.const 0))
        (i32.store16 (i32.const 12) (i32.const 100)) (i64.const 14)";
    let random = "(local $at i32) (local $x i32) (local.set $x (i32.mul (call $turn) (i32.const 747796405)))
        (loop $next
          (local.set $x (i32.add (i32.mul (local.get $x) (i32.const 1664525)) (i32.const 1013904223)))
          (i32.store (local.get $at) (local.get $x))
          (br_if $next (i32.lt_u (local.tee $at (i32.add (local.get $at) (i32.const 4))) (i32.const 256))))
        (i64.const 200)";
    let busy = "(local $n i32) (local.set $n (i32.const 9000))
        (loop (br_if 0 (local.tee $n (i32.sub (local.get $n) (i32.const 1))))) (i64.const 0)";
    let hundredth =
        "(if (i32.eqz (i32.rem_u (call $turn) (i32.const 100))) (then (unreachable))) (i64.const 0)";
    let refuse = "(i32.store (i32.const 0) (i32.const 0x00040005)) (i32.store (i32.const 4) (i32.const 60000)) (i64.const 8)";
    vec![
        ("loop-request", program("(loop (br 0)) (i64.const 0)", "")),
        ("loop-outcome", with_function("(func (export \"outcome\") (param i32) (loop (br 0)))")),
        ("loop-tick", with_function("(func (export \"tick\") (param i32) (loop (br 0)))")),
        ("loop-machines", with_function("(func (export \"machines\") (param i32) (loop (br 0)))")),
        (
            "recursion",
            program("(call $r) (i64.const 0)", "").replace("(func $turn", "(func $r (call $r)) (func $turn"),
        ),
        (
            "memory",
            program("(loop (br_if 0 (i32.ne (memory.grow (i32.const 1)) (i32.const -1)))) (i64.const 0)", ""),
        ),
        ("trap", program("(unreachable)", "")),
        ("trap-hundredth", program(hundredth, "")),
        ("random", program(random, "")),
        ("gigabyte", program("(i64.const 0x40000000)", "")),
        ("outside", program("(i64.const 0x7fffffff00000008)", "")),
        ("out-of-range", favour("(i32.const 60000)")),
        ("one-box", favour("(i32.const 7)")),
        ("cold-box", program(cold, "")),
        ("again", program(attempts, "")),
        ("refuse-all", program(refuse, "")),
        ("busy", program(busy, "")),
        ("fickle", favour("(i32.rem_u (call $turn) (i32.const 8))")),
        ("half-a-module", "(module (func".to_owned()),
        ("newer", program("(i64.const 0)", "").replace("(i32.const 1))\n", "(i32.const 9))\n")),
        ("imports", program("(i64.const 0)", "(import \"env\" \"system\" (func (param i32)))")),
    ]
}
