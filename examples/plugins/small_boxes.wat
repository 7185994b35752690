;; Keeps one class away from small caches under load: if the mean load is above 0.5, caches below the mean size are
;; avoided. Setting: `class N`, one digit, the index of the class in the site's settings.
(module
  (memory (export "memory") 1)
  (global (export "frostturn_version") i32 (i32.const 1))
  (global (export "view") i32 (i32.const 16384))
  (global $class (mut i32) (i32.const -1))

  (func (export "init") (param $len i32) (result i32)
    (if (i32.or (i32.lt_u (local.get $len) (i32.const 7)) (i32.ne (i32.load8_u (i32.const 16384)) (i32.const 99)))
      (then (return (i32.const 1))))
    (global.set $class (i32.sub (i32.load8_u (i32.const 16390)) (i32.const 48)))
    (i32.const 0))

  (func (export "request") (param $len i32) (result i64)
    (local $at i32) (local $count i32) (local $one i32) (local $each i32) (local $out i32)
    (local $load f32) (local $size f32) (local $seen f32)
    (if (i32.ne (i32.load16_u (i32.const 16398)) (global.get $class)) (then (return (i64.const 0))))
    (local.set $count (i32.load16_u (i32.const 16392)))
    (local.set $each (i32.load16_u (i32.const 16394)))
    (if (i32.eqz (local.get $count)) (then (return (i64.const 0))))
    (local.set $one (i32.add (i32.const 16384) (i32.load16_u (i32.const 16390))))
    (local.set $at (local.get $count))
    (loop $sum
      ;; An unknown load is NaN, which is not equal to itself.
      (if (f32.eq (f32.load offset=8 (local.get $one)) (f32.load offset=8 (local.get $one))) (then
        (local.set $load (f32.add (local.get $load) (f32.load offset=8 (local.get $one))))
        (local.set $seen (f32.add (local.get $seen) (f32.const 1)))))
      (local.set $size (f32.add (local.get $size) (f32.load offset=24 (local.get $one))))
      (local.set $one (i32.add (local.get $one) (local.get $each)))
      (local.set $at (i32.sub (local.get $at) (i32.const 1)))
      (br_if $sum (local.get $at)))
    ;; No advice if the load is low or unknown.
    (if (i32.eqz (f32.gt (local.get $load) (f32.mul (local.get $seen) (f32.const 0.5)))) (then (return (i64.const 0))))
    (local.set $size (f32.div (local.get $size) (f32.convert_i32_u (local.get $count))))
    (local.set $one (i32.add (i32.const 16384) (i32.load16_u (i32.const 16390))))
    (loop $each_one
      (if (f32.lt (f32.load offset=24 (local.get $one)) (local.get $size)) (then
        (i32.store (local.get $out) (i32.const 0x00040001))
        (i32.store16 offset=4 (local.get $out) (local.get $at))
        (i32.store16 offset=6 (local.get $out) (i32.const -50))
        (local.set $out (i32.add (local.get $out) (i32.const 8)))))
      (local.set $one (i32.add (local.get $one) (local.get $each)))
      (local.set $at (i32.add (local.get $at) (i32.const 1)))
      (br_if $each_one (i32.lt_u (local.get $at) (local.get $count))))
    (i64.extend_i32_u (local.get $out))))
