;; A template for a frostturn plug-in, interface version 1. The router loads this text format directly, without a build.
;;
;; The view of a request is at `view`; numbers are little-endian (crates/frostturn-plugin-kit has the whole layout):
;;    6 u16 length of the head      8 u16 machines            10 u16 length of a machine
;;   13 u8  1 repeat, 2 names an object, 4 never sent twice   14 u16 class
;;   16 u64 object   24 u64 piece   32 u32 group   36 f32 size in KB   40 u32 time left in ms
;; and for each machine after the head:
;;    0 u64 name (the hex digits of s-00c41f7a)   8 f32 load 0..1 (NaN: unknown)   12 f32 age of the load in ms
;;   16 f32 warm (below 1: cold)   20 u32 in flight   24 f32 size
;;
;; Advice is a sequence of records: u16 kind, u16 length, content.
;;   1 favour: u16 machine, i16 strength -100..100      2 retention rank: u8 0..3
;;   3 maximum age of a copy: u32 ms   4 maximum attempts: u16   5 refuse, retry after: u32 ms   6 label: its bytes
;;
;; Check the file with `frostturn plugin check FILE`, measure it with `frostturn plugin bench FILE`.
(module
  (memory (export "memory") 1)
  (global (export "frostturn_version") i32 (i32.const 1))
  (global (export "view") i32 (i32.const 4096))
  (data (i32.const 0) "\06\00\04\00seen")   ;; the advice: count the request under the label `seen`

  ;; The settings of the operator's file are at `view`, one line `name value` each. Returns 0 on success.
  (func (export "init") (param $len i32) (result i32) (i32.const 0))

  ;; Returns the offset of the advice in the upper half and its length in the lower half; 0 means no advice.
  (func (export "request") (param $len i32) (result i64)
    (i64.or (i64.shl (i64.const 0) (i64.const 32)) (i64.const 8))))
