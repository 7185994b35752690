;; A starting point for a plug-in of frostturn, version 1. Text like this is loaded as it is, without a tool chain.
;;
;; The view of a request lies at `view`, figures little-endian (crates/frostturn-plugin-kit has the whole layout):
;;    6 u16 length of the head      8 u16 machines            10 u16 length of a machine
;;   13 u8  1 repeat, 2 names an object, 4 never sent twice   14 u16 class
;;   16 u64 object   24 u64 part    32 u32 group   36 f32 size in KB   40 u32 time left in ms
;; and of each machine behind the head:
;;    0 u64 name (the hex digits of s-00c41f7a)   8 f32 load 0..1 (NaN: not known)   12 f32 age of that in ms
;;   16 f32 warm (under 1: cold)   20 u32 in flight   24 f32 size
;;
;; Advice is a row of records: u16 kind, u16 length, content.
;;   1 favour: u16 machine, i16 strength -100..100      2 rank of the copy: u8 0..3
;;   3 oldest copy: u32 ms   4 attempts at most: u16    5 refuse: u32 ms   6 a label: its bytes
;;
;; Check it with `frostturn plugin check FILE`, time it with `frostturn plugin bench FILE`.
(module
  (memory (export "memory") 1)
  (global (export "frostturn_version") i32 (i32.const 1))
  (global (export "view") i32 (i32.const 4096))
  (data (i32.const 0) "\06\00\04\00seen")   ;; the advice: count it under the label `seen`

  ;; The settings of the operator's file lie at `view`, a line `name value` each. 0: all is well.
  (func (export "init") (param $len i32) (result i32) (i32.const 0))

  ;; Gives the place of the advice in the upper half and its length in the lower; 0: no advice.
  (func (export "request") (param $len i32) (result i64)
    (i64.or (i64.shl (i64.const 0) (i64.const 32)) (i64.const 8))))
