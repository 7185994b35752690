//! Functions that the dynamic linker finds before the C library's.

use crate::faults::{self, errno};
use crate::plan::{Call, Plan};
use std::ffi::{c_char, c_int, c_long, c_uint, c_void, CStr};
use std::sync::OnceLock;

/// `struct timespec` of the 64-bit ABI.
#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanoseconds: c_long,
}

const CLOCK_REALTIME: c_int = 0;
const CLOCK_BOOTTIME: c_int = 7;
const EPOLL_CTL_ADD: c_int = 1;
const O_CREAT: c_int = 0o100;
const AF_UNIX: u16 = 1;
const SHUT_RDWR: c_int = 2;
const SOL_SOCKET: c_int = 1;
const SO_TYPE: c_int = 3;
const SO_ACCEPTCONN: c_int = 30;
const SOCK_STREAM: c_int = 1;
const STDERR: c_int = 2;
/// Handle for the next object in the dynamic linker's search order.
const RTLD_NEXT: *mut c_void = -1_isize as *mut c_void;

extern "C" {
    fn dlsym(handle: *mut c_void, symbol: *const c_char) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
    fn getsockopt(fd: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut c_uint) -> c_int;
}

fn fail(error: c_int) -> isize {
    // SAFETY: the C library gives a valid pointer to this thread's errno.
    unsafe { *__errno_location() = error };
    -1
}

/// Looks up the C library's function of this name once.
macro_rules! real {
    ($name:literal, fn($($argument:ty),*) -> $result:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let name: &CStr = $name;
        // SAFETY: the name ends with a NUL, and RTLD_NEXT is a handle that dlsym takes.
        let address = *ADDRESS.get_or_init(|| unsafe { dlsym(RTLD_NEXT, name.as_ptr()) } as usize);
        // SAFETY: the C library documents this signature for this name.
        unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($argument),*) -> $result>(address) }
    }};
}

/// Returns an integer option of a socket; `None`: not a socket.
fn socket_option(fd: c_int, name: c_int) -> Option<c_int> {
    let (mut value, mut length): (c_int, c_uint) = (0, 4);
    // SAFETY: both pointers are of this frame, and the length is the value's.
    let got = unsafe { getsockopt(fd, SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length) };
    (got == 0).then_some(value)
}

/// Returns whether the descriptor is a stream socket that is not a listener.
fn is_connection(fd: c_int) -> bool {
    socket_option(fd, SO_TYPE) == Some(SOCK_STREAM) && socket_option(fd, SO_ACCEPTCONN) == Some(0)
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match faults::syscall(Call::Socket) {
        Some(error) => fail(error) as c_int,
        None => real!(c"socket", fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol),
    }
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, length: c_uint) -> c_int {
    let next = real!(c"connect", fn(c_int, *const c_void, c_uint) -> c_int);
    match faults::syscall(Call::Connect) {
        Some(errno::EINTR) => {
            next(fd, address, length); // The connect continues asynchronously.
            fail(errno::EINTR) as c_int
        }
        // connect(2) gives EAGAIN to a Unix socket for a full accept queue, to other sockets for a lack of
        // ports.
        Some(errno::EADDRNOTAVAIL | errno::ENETUNREACH | errno::EHOSTUNREACH)
            if address.cast::<u16>().read_unaligned() == AF_UNIX =>
        {
            fail(errno::EAGAIN) as c_int
        }
        Some(error) => fail(error) as c_int,
        None => next(fd, address, length),
    }
}

/// # Safety
/// As setsockopt(2).
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: c_uint,
) -> c_int {
    match faults::syscall(Call::SetSockOpt) {
        Some(error) => fail(error) as c_int,
        None => real!(c"setsockopt", fn(c_int, c_int, c_int, *const c_void, c_uint) -> c_int)(
            fd, level, name, value, length,
        ),
    }
}

/// # Safety
/// As epoll_ctl(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(epoll: c_int, operation: c_int, fd: c_int, event: *mut c_void) -> c_int {
    match faults::syscall(Call::EpollAdd).filter(|_| operation == EPOLL_CTL_ADD) {
        Some(error) => fail(error) as c_int,
        None => {
            real!(c"epoll_ctl", fn(c_int, c_int, c_int, *mut c_void) -> c_int)(epoll, operation, fd, event)
        }
    }
}

/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut c_void,
    length: *mut c_uint,
    flags: c_int,
) -> c_int {
    match faults::syscall(Call::Accept) {
        Some(error) => fail(error) as c_int,
        None => {
            real!(c"accept4", fn(c_int, *mut c_void, *mut c_uint, c_int) -> c_int)(fd, address, length, flags)
        }
    }
}

/// Breaks the connection from now on; what its peer has read stays unknown.
fn sever(fd: c_int) -> Option<c_int> {
    let error = faults::syscall(Call::Sever).filter(|_| is_connection(fd))?;
    let shutdown = real!(c"shutdown", fn(c_int, c_int) -> c_int);
    // SAFETY: shutdown(2) takes any descriptor.
    unsafe { shutdown(fd, SHUT_RDWR) };
    Some(error)
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, bytes: usize, flags: c_int) -> isize {
    let next = real!(c"recv", fn(c_int, *mut c_void, usize, c_int) -> isize);
    if let Some(error) = faults::syscall(Call::Read).or_else(|| sever(fd)) {
        return fail(error);
    }
    let short = faults::short(Plan::get().share_of(Call::Read), bytes);
    next(fd, buffer, short.unwrap_or(bytes), flags)
}

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, bytes: usize, flags: c_int) -> isize {
    let next = real!(c"send", fn(c_int, *const c_void, usize, c_int) -> isize);
    if let Some(error) = faults::syscall(Call::Write).or_else(|| sever(fd)) {
        return fail(error);
    }
    let short = faults::short(Plan::get().share_of(Call::Write), bytes);
    next(fd, buffer, short.unwrap_or(bytes), flags)
}

/// # Safety
/// As write(2). Only regular files fail here; the log on standard error is not touched.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, bytes: usize) -> isize {
    let next = real!(c"write", fn(c_int, *const c_void, usize) -> isize);
    if fd == STDERR || Plan::get().disk_share == 0.0 || socket_option(fd, SO_TYPE).is_some() {
        return next(fd, buffer, bytes);
    }
    if let Some(error) = faults::disk() {
        return match faults::short(0.5, bytes) {
            Some(short) => next(fd, buffer, short),
            None => fail(error),
        };
    }
    next(fd, buffer, bytes)
}

/// # Safety
/// As fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    match faults::disk() {
        Some(error) => fail(error) as c_int,
        None => real!(c"fsync", fn(c_int) -> c_int)(fd),
    }
}

/// # Safety
/// As fdatasync(2).
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    match faults::disk() {
        Some(error) => fail(error) as c_int,
        None => real!(c"fdatasync", fn(c_int) -> c_int)(fd),
    }
}

/// # Safety
/// As rename(2).
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    match faults::disk() {
        Some(error) => fail(error) as c_int,
        None => real!(c"rename", fn(*const c_char, *const c_char) -> c_int)(from, to),
    }
}

/// # Safety
/// As open(2); the mode is passed on even where it is ignored.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    match faults::disk().filter(|_| flags & O_CREAT != 0) {
        Some(error) => fail(error) as c_int,
        None => real!(c"open64", fn(*const c_char, c_int, c_uint) -> c_int)(path, flags, mode),
    }
}

/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let next = real!(c"clock_gettime", fn(c_int, *mut Timespec) -> c_int);
    let got = next(clock, time);
    let steps = &Plan::get().clock_steps;
    if got != 0 || clock != CLOCK_REALTIME || steps.is_empty() {
        return got;
    }
    let mut boot = Timespec { seconds: 0, nanoseconds: 0 };
    next(CLOCK_BOOTTIME, &raw mut boot);
    let boot_ms = boot.seconds * 1000 + boot.nanoseconds / 1_000_000;
    let by_ms: i64 = steps.iter().filter(|step| boot_ms >= step.from_boot_ms).map(|step| step.by_ms).sum();
    let nanoseconds = (*time).nanoseconds + (by_ms.rem_euclid(1000)) * 1_000_000;
    (*time).seconds += by_ms.div_euclid(1000) + nanoseconds / 1_000_000_000;
    (*time).nanoseconds = nanoseconds % 1_000_000_000;
    got
}
