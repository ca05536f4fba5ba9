/* Library that tests preload into the dispatcher. It adds an offset to the wall clock and lets some system
 * calls fail in ways that Linux documents. The process maps a file to which the test writes both settings:
 * the offset in nanoseconds (8 bytes) and the number of failures per million calls (4 bytes). */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct faults {
    int64_t clock_offset_ns;
    uint32_t failures_per_million;
    uint32_t reserved;
};

static const struct faults no_faults;
static volatile const struct faults *faults = &no_faults;
static _Thread_local uint64_t random_state = 0x9E3779B97F4A7C15ull;

__attribute__((constructor)) static void map_faults(void) {
    const char *path = getenv("SHIM_FAULTS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct faults), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) {
        faults = mapped;
    }
    random_state ^= (uint64_t)getpid() << 20;
}

static uint32_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 32);
}

static int should_fail(void) {
    uint32_t rate = faults->failures_per_million;
    return rate != 0 && next_random() % 1000000 < rate;
}

static int fail_with(const int *codes, int count) {
    errno = codes[next_random() % count];
    return -1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real) {
        real = REAL(clock_gettime);
    }
    int result = real(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t total = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + faults->clock_offset_ns;
        now->tv_sec = total / 1000000000;
        now->tv_nsec = total % 1000000000;
    }
    return result;
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    static const int codes[] = {ECONNABORTED, EINTR, ENFILE, ENOBUFS, ENOMEM};
    static __typeof__(&accept4) real;
    if (!real) {
        real = REAL(accept4);
    }
    return should_fail() ? fail_with(codes, 5) : real(socket, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int codes[] = {ENFILE, ENOBUFS, ENOMEM};
    static __typeof__(&socket) real;
    if (!real) {
        real = REAL(socket);
    }
    return should_fail() ? fail_with(codes, 3) : real(domain, type, protocol);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
    static __typeof__(&connect) real;
    if (!real) {
        real = REAL(connect);
    }
    return should_fail() ? fail_with(codes, 4) : real(socket, address, length);
}

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
    static __typeof__(&recv) real;
    if (!real) {
        real = REAL(recv);
    }
    if (should_fail()) {
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        length = length > 1 ? 1 : length;
    }
    return real(socket, buffer, length, flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
    static __typeof__(&send) real;
    if (!real) {
        real = REAL(send);
    }
    if (should_fail()) {
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        length = length > 1 ? 1 : length;
    }
    return real(socket, buffer, length, flags);
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    static __typeof__(&writev) real;
    if (!real) {
        real = REAL(writev);
    }
    if (should_fail()) {
        errno = EINTR;
        return -1;
    }
    return real(file, parts, count);
}
