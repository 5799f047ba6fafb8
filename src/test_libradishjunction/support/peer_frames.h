/*
 * Frames between instances as they were recorded from the oldest version that
 * is still accepted, in golden/peer_frames_v1.txt. They stand for an instance
 * of that version, so that its links are tested without its build.
 */
#ifndef TEST_SUPPORT_PEER_FRAMES_H
#define TEST_SUPPORT_PEER_FRAMES_H

#include "private/peer_codec.h"

/* What the recorded hello says. */
#define PEER_FRAMES_HELLO                \
	{                                \
		1, 1, "c", "lhr-dha", 9, \
		{                        \
			1, 2             \
		}                        \
	}

void peer_frames_fill(struct rj_peer_message *message,
		      enum rj_peer_message_kind kind);
struct rj_bytes peer_frames_recorded(void *mem, enum rj_peer_message_kind kind);
struct rj_bytes peer_frames_recorded_hello(void *mem);

#endif
