#include "common/stop_signal.h"

#include <pthread.h>
#include <signal.h>

/* Fills the set of signals that ask a process to shut down. */
static void
fill_stop_signals(sigset_t *set)
{
    (void)sigemptyset(set);
    (void)sigaddset(set, SIGTERM);
    (void)sigaddset(set, SIGINT);
}

/* Blocks the stop signals in this thread and those it starts, so that
 * bb_stop_signal_wait receives them. Ignores SIGPIPE, as a write reports a
 * closed connection. Call before any thread starts. */
void
bb_stop_signal_block(void)
{
    sigset_t set;

    fill_stop_signals(&set);
    (void)pthread_sigmask(SIG_BLOCK, &set, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
}

/* Waits for SIGTERM or SIGINT and returns its number. */
int
bb_stop_signal_wait(void)
{
    sigset_t set;
    int number = 0;

    fill_stop_signals(&set);
    while (sigwait(&set, &number) != 0) {
    }
    return number;
}
