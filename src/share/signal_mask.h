/*
 * The signals that stop a daemon or make it reload its settings, SIGTERM and
 * SIGHUP, while the daemon can't handle them yet.
 *
 * A signal without a handler ends the process, without a line in its log. A
 * daemon therefore blocks them first of all, and unblocks them once its
 * handlers are installed; signals that arrive in between are handled then.
 * Whoever starts a daemon may block them for it, as its libraries are loaded
 * before its own code runs.
 */
#ifndef RADISHJUNCTION_SHARE_SIGNAL_MASK_H
#define RADISHJUNCTION_SHARE_SIGNAL_MASK_H

/* `how` as of sigprocmask(2): SIG_BLOCK or SIG_UNBLOCK. */
void rj_signal_mask_set(int how);

#endif
