; The operator's file: what this router does beyond the platform's own deployment. Nothing here is on unless its
; section stands in the file that `frostturn serve --operator FILE` (or FROSTTURN_OPERATOR) names.
;
;   frostturn check FILE      reports every fault with line and column, and changes nothing
;   kill -HUP PID             takes a good file over at once, whole; a bad one changes nothing
;
; Times carry their unit: 80ms, 2s, 5m. Text stands in double quotes.

(frostturn

  ; Several addresses for one machine. docs/operators/addresses.md
  (addresses

    ; Families in the order in which they are tried. One that is left out isn't used, not even if the notice
    ; board names it. This is the order when none is given.
    (order unix ipv6 ipv4)

    ; Least and most time before the next way is tried beside one that isn't up yet. In between it is four
    ; times the mean time to connect. 10ms to 2s (RFC 8305, section 5).
    (attempt-delay 20ms 80ms)

    ; First and longest pause of a way that has failed: twice as long with each failure in a row, a quarter more
    ; or less by chance.
    (pause 250ms 30s)

    ; Dials open at once for one machine (2 at most; 1 while the machine is cold), and in all.
    (dials-per-machine 2)
    (dials 64)

    ; checked: a machine says its name in answer to HELO (name=…), and a connection on which another one
    ; answers carries nothing. ignored: nobody is asked.
    (names ignored)

    ; Further ways to a machine, beside the notice board's address. At most 7; no two machines share one.
    (machine "s-00c41f7a"
      (unix "/run/box/a.sock")
      (tcp "[::1]:7001")
      (tcp "127.0.0.1:7001")))

  ; The other request routers, and where this one hears them: a UDP socket on a net that is trusted. docs/operators/fleet.md
  (fleet
    (name "north")                       ; datagrams of other fleets are foreign
    (listen "127.0.0.1:7401")            ; where this router hears the others
    (peer "n1" "127.0.0.1:7411")         ; each other router by its name, and where it is reached from here
    (peer "n2" "127.0.0.1:7412")         ; 1023 at most; all routers' files name the same ones
    (period 500ms)                       ; five datagrams leave in it. 100ms to 5s
    (suspicion 4s 8s))                   ; least and most time from suspect to gone; four periods and more

  ; A Unix socket where operators call, beside the config's `ops` or without it. docs/operators/service.md
  (ops
    (unix "/run/frostturn/ops.sock"))   ; for this user alone; `frostturn ctl --operator FILE` finds it here

  ; The operators' own programs that give advice on routing, asked in this order. docs/operators/plugins.md
  (plugins
    (record "/run/frostturn/views.hex") ; SIGUSR1 writes the latest views there, for `frostturn plugin run`
    (plugin "photos"
      (file "/etc/frostturn/photos.wat")
      (settings (group 12)))            ; passed to its init, a line `group 12`
    (plugin "full"
      (file "/etc/frostturn/refuse_early.wat")
      (settings (class 0))
      (may-refuse "training-video")     ; classes of which it may have requests refused; none without this
      (memory 1mb)                      ; 64kb to 4mb
      (fuel 20000)                      ; instructions of one call
      (fuel-per-second 10000000))))     ; instructions a second
