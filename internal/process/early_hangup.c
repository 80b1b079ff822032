#include <signal.h>

/* Runs before the Go runtime starts, which leaves a signal ignored that it finds ignored. The platform sends SIGHUP
 * whenever it has changed the settings file, also in the first moments of a process. */
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
