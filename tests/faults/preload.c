/* Faults of the system for one process of a test. Preloaded (LD_PRELOAD); the file named by FAULTS says what happens and
 * is read at each call, so that a test changes it while the process runs. One fault a line:
 *
 *     clock MILLISECONDS              the wall clock is off by so much
 *     CALL ERRNO EVERY [PATH]         every EVERY-th call fails, on files whose path holds PATH
 *     CALL kill EVERY [PATH]          the process is killed in its place
 *     write half EVERY PATH           half of the bytes are written, then the process is killed
 *     recv short EVERY                three bytes are read at the most; likewise of send
 *     send hold EVERY                 the process is held up for 150 ms before the call
 *     send stall EVERY                where the call writes a statement to a database host: its last byte is not accepted
 *                                     for 300 ms
 *
 * Where SENT names a file, each statement that goes to a database host is recorded there: the machine's time in microseconds
 * just before the call that wrote its last byte, the port that it went to, and the request's id.
 *
 * Calls: open, write, fsync, rename, socket, bind, listen, accept4, connect, recv, send, setsockopt, epoll_add, epoll_ctl. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define REAL(name) __typeof__(&name) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)
#define HALF (-2)
#define KILL (-3)
#define SHORT (-4)
#define HOLD (-5)
#define STALL (-6)
#define HOLD_MICROS 150000
#define STALL_MICROS 300000
#define FILES 4096
#define ID 72

static size_t script(char *text, size_t size) {
    const char *path = getenv("FAULTS");
    long file = path ? syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC, 0) : -1;
    if (file < 0) return 0;
    long count = syscall(SYS_read, file, text, size - 1);
    syscall(SYS_close, file);
    text[count > 0 ? count : 0] = 0;
    return count > 0;
}

/* The error that this call meets now; 0 for none. */
static int fault(const char *call, const char *path) {
    static unsigned counts[64];
    char text[4096], name[32], what[32], part[256];
    int before = errno, found = 0, line = 0;
    if (!script(text, sizeof text)) {
        errno = before;
        return 0;
    }
    char *rest = text;
    for (char *at; !found && (at = strsep(&rest, "\n")) && line < 64; line++) {
        unsigned every = 0;
        part[0] = 0;
        if (sscanf(at, "%31s %31s %u %255s", name, what, &every, part) < 3 || strcmp(name, call) || !every) continue;
        if (part[0] && !(path && strstr(path, part))) continue;
        if (__atomic_add_fetch(&counts[line], 1, __ATOMIC_SEQ_CST) % every) continue;
        found = !strcmp(what, "half") ? HALF : !strcmp(what, "kill") ? KILL : !strcmp(what, "short") ? SHORT : !strcmp(what, "hold") ? HOLD : !strcmp(what, "stall") ? STALL : atoi(what);
    }
    errno = before;
    if (found == KILL) kill(getpid(), SIGKILL);
    return found;
}

static const char *path_of(int file, char *path, size_t size) {
    char link[64];
    snprintf(link, sizeof link, "/proc/self/fd/%d", file);
    long count = syscall(SYS_readlinkat, AT_FDCWD, link, path, size - 1);
    path[count > 0 ? count : 0] = 0;
    return path;
}

static long long clock_offset_ms(void) {
    char text[4096];
    int before = errno;
    long long offset = 0;
    if (script(text, sizeof text)) {
        char *at = strstr(text, "clock ");
        if (at) offset = atoll(at + 6);
    }
    errno = before;
    return offset;
}

int clock_gettime(clockid_t id, struct timespec *time) {
    REAL(clock_gettime);
    int done = real(id, time);
    if (!done && id == CLOCK_REALTIME) {
        long long nanos = (long long)time->tv_sec * 1000000000 + time->tv_nsec + clock_offset_ms() * 1000000;
        time->tv_sec = nanos / 1000000000;
        time->tv_nsec = nanos % 1000000000;
    }
    return done;
}

#define MEETS(call, path)                                   \
    int error = fault(call, path);                          \
    if (error > 0) {                                        \
        errno = error;                                      \
        return -1;                                          \
    }

static int open_file(const char *path, int flags, mode_t mode) {
    MEETS("open", path);
    return syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}
int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_file(path, flags, mode);
}
int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_file(path, flags, mode);
}
ssize_t write(int file, const void *bytes, size_t count) {
    char path[256];
    MEETS("write", path_of(file, path, sizeof path));
    REAL(write);
    if (error == HALF) {
        real(file, bytes, count / 2);
        kill(getpid(), SIGKILL);
    }
    return real(file, bytes, count);
}
int fsync(int file) {
    char path[256];
    MEETS("fsync", path_of(file, path, sizeof path));
    REAL(fsync);
    return real(file);
}
int rename(const char *from, const char *to) {
    MEETS("rename", to);
    REAL(rename);
    return real(from, to);
}
int socket(int domain, int type, int protocol) {
    MEETS("socket", NULL);
    REAL(socket);
    return real(domain, type, protocol);
}
int bind(int file, const struct sockaddr *address, socklen_t length) {
    MEETS("bind", NULL);
    REAL(bind);
    return real(file, address, length);
}
int listen(int file, int backlog) {
    MEETS("listen", NULL);
    REAL(listen);
    return real(file, backlog);
}
int accept4(int file, struct sockaddr *address, socklen_t *length, int flags) {
    MEETS("accept4", NULL);
    REAL(accept4);
    return real(file, address, length, flags);
}
int connect(int file, const struct sockaddr *address, socklen_t length) {
    MEETS("connect", NULL);
    REAL(connect);
    return real(file, address, length);
}
int setsockopt(int file, int level, int name, const void *value, socklen_t length) {
    MEETS("setsockopt", NULL);
    REAL(setsockopt);
    return real(file, level, name, value, length);
}
int epoll_ctl(int poll, int what, int file, struct epoll_event *event) {
    MEETS(what == EPOLL_CTL_ADD ? "epoll_add" : "epoll_ctl", NULL);
    REAL(epoll_ctl);
    return real(poll, what, file, event);
}
ssize_t recv(int file, void *bytes, size_t count, int flags) {
    MEETS("recv", NULL);
    REAL(recv);
    return real(file, bytes, error == SHORT && count > 3 ? 3 : count, flags);
}
/* The machine's own time, whatever the script does to the clock. */
static long long true_micros(void) {
    struct timespec time;
    syscall(SYS_clock_gettime, CLOCK_REALTIME, &time);
    return (long long)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

/* Whether these bytes end a statement with a comment; of its last bytes, some may have been written before. */
static int ends_statement(const char *bytes, size_t count) {
    size_t known = count < 3 ? count : 3;
    return count && !memcmp(bytes + count - known, "*/" + 3 - known, known);
}

/* Records a statement once its last byte is written: what begins with an id may be written in pieces. */
static void record(int file, const char *bytes, size_t count, ssize_t written, long long before) {
    static char ids[FILES][ID];
    const char *path = getenv("SENT");
    if (!path || file >= FILES) return;
    const char *at = memmem(bytes, count, "/* id=", 6);
    if (at) sscanf(at + 6, "%71[^, ]", ids[file]);
    if (written != (ssize_t)count || !ids[file][0] || !ends_statement(bytes, count)) return;
    char line[ID + 32];
    struct sockaddr_in peer = {0};
    socklen_t size = sizeof peer;
    getpeername(file, (struct sockaddr *)&peer, &size);
    int length = snprintf(line, sizeof line, "%lld %d %s\n", before, ntohs(peer.sin_port), ids[file]);
    ids[file][0] = 0;
    long log = syscall(SYS_openat, AT_FDCWD, path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (log >= 0) {
        syscall(SYS_write, log, line, length);
        syscall(SYS_close, log);
    }
}

/* Until when a connection accepts no further bytes. */
static long long stalled_until[FILES];

static int is_stalled(int file) {
    return file < FILES && true_micros() < stalled_until[file];
}

ssize_t send(int file, const void *bytes, size_t count, int flags) {
    if (is_stalled(file)) {
        errno = EAGAIN;
        return -1;
    }
    MEETS("send", NULL);
    REAL(send);
    if (error == HOLD) usleep(HOLD_MICROS);
    size_t accepted = error == SHORT && count > 3 ? 3 : count;
    if (error == STALL && file < FILES && memmem(bytes, count, "/* id=", 6) && ends_statement(bytes, count)) {
        accepted = count - 1;
        stalled_until[file] = true_micros() + STALL_MICROS;
    }
    long long before = true_micros();
    ssize_t written = real(file, bytes, accepted, flags);
    int kept = errno;
    record(file, bytes, count, written, before);
    errno = kept;
    return written;
}
