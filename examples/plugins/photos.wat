;; Favours the cache that holds a staff photo, as learned from outcomes.
;;
;; A hash table with 1,024 entries, indexed by object, stores the name of the cache that last served the object.
;; Setting: `group N`, the purge group of the photos; requests of other groups get no advice.
(module
  (memory (export "memory") 1)
  (global (export "frostturn_version") i32 (i32.const 1))
  (global (export "view") i32 (i32.const 16384))
  (global $group (mut i32) (i32.const -1))
  ;; The table starts at 20480, with entries of 16 bytes: object, cache. The advice is built at 0.

  (func (export "init") (param $len i32) (result i32)
    (local $at i32) (local $byte i32) (local $value i32)
    ;; Parses the digits of the first line, whose name must begin with `g`.
    (if (i32.or (i32.lt_u (local.get $len) (i32.const 7)) (i32.ne (i32.load8_u (i32.const 16384)) (i32.const 103)))
      (then (return (i32.const 1))))
    (local.set $at (i32.const 6))
    (loop $digits
      (local.set $byte (i32.sub (i32.load8_u (i32.add (i32.const 16384) (local.get $at))) (i32.const 48)))
      (if (i32.lt_u (local.get $byte) (i32.const 10)) (then
        (local.set $value (i32.add (i32.mul (local.get $value) (i32.const 10)) (local.get $byte)))
        (local.set $at (i32.add (local.get $at) (i32.const 1)))
        (br_if $digits (i32.lt_u (local.get $at) (local.get $len))))))
    (global.set $group (local.get $value))
    (i32.const 0))

  (func $place (result i32)
    (i32.add (i32.const 20480)
      (i32.shl (i32.and (i32.wrap_i64 (i64.load (i32.const 16400))) (i32.const 1023)) (i32.const 4))))

  (func $machine (param $at i32) (result i32)
    (i32.add (i32.add (i32.const 16384) (i32.load16_u (i32.const 16390)))
      (i32.mul (local.get $at) (i32.load16_u (i32.const 16394)))))

  (func (export "request") (param $len i32) (result i64)
    (local $place i32) (local $at i32) (local $name i64)
    (if (i32.ne (i32.load (i32.const 16416)) (global.get $group)) (then (return (i64.const 0))))
    (local.set $place (call $place))
    (if (i64.ne (i64.load (local.get $place)) (i64.load (i32.const 16400))) (then (return (i64.const 0))))
    (local.set $name (i64.load offset=8 (local.get $place)))
    (block $none
      (loop $next
        (br_if $none (i32.ge_u (local.get $at) (i32.load16_u (i32.const 16392))))
        (if (i64.eq (i64.load (call $machine (local.get $at))) (local.get $name)) (then
          (i32.store (i32.const 0) (i32.const 0x00040001))
          (i32.store16 (i32.const 4) (local.get $at))
          (i32.store16 (i32.const 6) (i32.const 60))
          (return (i64.const 8))))
        (local.set $at (i32.add (local.get $at) (i32.const 1)))
        (br $next)))
    (i64.const 0))

  ;; After the outcome ok (0), from the cache or by a fill, the cache has the object.
  (func (export "outcome") (param $len i32)
    (local $place i32)
    (if (i32.ne (i32.load (i32.const 16416)) (global.get $group)) (then (return)))
    (if (i32.load16_u (i32.const 16430)) (then (return)))
    (if (i32.eq (i32.load16_u (i32.const 16432)) (i32.const 0xffff)) (then (return)))
    (local.set $place (call $place))
    (i64.store (local.get $place) (i64.load (i32.const 16400)))
    (i64.store offset=8 (local.get $place) (i64.load (call $machine (i32.load16_u (i32.const 16432)))))))
