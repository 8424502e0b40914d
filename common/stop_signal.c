#include "common/stop_signal.h"

#include <pthread.h>
#include <signal.h>

/* Fills the set of signals that end a process in good order. */
static void
fill_set(sigset_t *set)
{
    (void)sigemptyset(set);
    (void)sigaddset(set, SIGTERM);
    (void)sigaddset(set, SIGINT);
}

/* Blocks the stop signals in this thread and those it starts, and ignores
 * SIGPIPE: a closed connection is reported by the write. Call before any
 * thread starts. */
void
bb_stop_signal_block(void)
{
    sigset_t set;

    fill_set(&set);
    (void)pthread_sigmask(SIG_BLOCK, &set, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
}

/* Waits for SIGTERM or SIGINT and returns its number. */
int
bb_stop_signal_wait(void)
{
    sigset_t set;
    int number = 0;

    fill_set(&set);
    while (sigwait(&set, &number) != 0) {
    }
    return number;
}
