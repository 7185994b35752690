;; Refuses one class early when all caches of the location are full: if every load is known and above 0.9, the client
;; is told to retry after 500 ms. The operator's file must allow this with `(may-refuse "training-video")`.
;; Setting: `class N`, one digit.
(module
  (memory (export "memory") 1)
  (global (export "frostturn_version") i32 (i32.const 1))
  (global (export "view") i32 (i32.const 16384))
  (global $class (mut i32) (i32.const -1))
  ;; The advice: refuse with a retry after 500 ms, and count the request under `full`.
  (data (i32.const 0) "\05\00\04\00\f4\01\00\00\06\00\04\00full")

  (func (export "init") (param $len i32) (result i32)
    (if (i32.or (i32.lt_u (local.get $len) (i32.const 7)) (i32.ne (i32.load8_u (i32.const 16384)) (i32.const 99)))
      (then (return (i32.const 1))))
    (global.set $class (i32.sub (i32.load8_u (i32.const 16390)) (i32.const 48)))
    (i32.const 0))

  (func (export "request") (param $len i32) (result i64)
    (local $left i32) (local $one i32)
    (if (i32.ne (i32.load16_u (i32.const 16398)) (global.get $class)) (then (return (i64.const 0))))
    (local.set $left (i32.load16_u (i32.const 16392)))
    (if (i32.eqz (local.get $left)) (then (return (i64.const 0))))
    (local.set $one (i32.add (i32.const 16384) (i32.load16_u (i32.const 16390))))
    (loop $next
      (if (i32.eqz (f32.gt (f32.load offset=8 (local.get $one)) (f32.const 0.9))) (then (return (i64.const 0))))
      (local.set $one (i32.add (local.get $one) (i32.load16_u (i32.const 16394))))
      (local.set $left (i32.sub (local.get $left) (i32.const 1)))
      (br_if $next (local.get $left)))
    (i64.const 16)))
