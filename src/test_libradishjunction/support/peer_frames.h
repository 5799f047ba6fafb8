/*
 * Peer frames recorded from the oldest protocol version that is still accepted,
 * in golden/peer_frames_v1.txt. Compatibility with instances of that version is
 * tested with them, without building it.
 */
#ifndef TEST_SUPPORT_PEER_FRAMES_H
#define TEST_SUPPORT_PEER_FRAMES_H

#include "private/peer_codec.h"

/* The contents of the recorded hello. */
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
