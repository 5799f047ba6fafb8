#include "private/tcp_link.h"

#include <assert.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#define FRAME_LENGTH_BYTES 4
/* Limit of one read, so that a busy link does not starve the others. */
#define READ_MAX_BYTES (64 * 1024)
/* An empty buffer larger than this is freed. */
#define IDLE_BUFFER_BYTES (64 * 1024)

/* Ensure space for `length` more bytes at the end of `buffer`. */
static void buffer_reserve(struct rj_link_buffer *buffer, void *mem,
			   uint32_t length)
{
	uint32_t used = buffer->end - buffer->start;
	uint32_t capacity = buffer->capacity ? buffer->capacity : 1024;

	if (buffer->capacity - buffer->end >= length)
		return;
	if (buffer->start) {
		memmove(buffer->data, buffer->data + buffer->start, used);
		buffer->start = 0;
		buffer->end = used;
	}
	if (buffer->capacity - used >= length)
		return;
	while (capacity < used + length)
		capacity *= 2;
	buffer->data = talloc_realloc(mem, buffer->data, uint8_t, capacity);
	assert(buffer->data);
	buffer->capacity = capacity;
}

/* Remove `length` bytes from the front; a large buffer is freed when empty. */
static void buffer_consume(struct rj_link_buffer *buffer, uint32_t length)
{
	assert(buffer->end - buffer->start >= length);
	buffer->start += length;
	if (buffer->start != buffer->end)
		return;
	buffer->start = 0;
	buffer->end = 0;
	if (buffer->capacity <= IDLE_BUFFER_BYTES)
		return;
	TALLOC_FREE(buffer->data);
	buffer->capacity = 0;
}

/* Report the end of the link to its owner, from the event loop. */
static void on_closing(struct tevent_context *loop,
		       struct tevent_immediate *closing, void *private_data)
{
	struct rj_tcp_link *link = private_data;

	link->ops->closed(link, link->reason);
}

/*
 * End the link: nothing more is read or sent, and `closed` is called from the
 * event loop. Only the first reason is kept.
 *
 * The call is deferred because frames are handled while iterating over the
 * link's buffer, which the owner may free in `closed`.
 */
void rj_tcp_link_close(struct rj_tcp_link *link,
		       enum rj_peer_close_reason reason)
{
	if (link->ended)
		return;
	link->ended = true;
	link->reason = reason;
	TALLOC_FREE(link->fd_event);
	tevent_schedule_immediate(link->closing, link->loop, on_closing, link);
}

/* The length prefix at the front of the read buffer, in bytes. */
static uint32_t next_frame_length(const struct rj_tcp_link *link)
{
	const uint8_t *data = link->in.data + link->in.start;

	return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
	       (uint32_t)data[2] << 8 | data[3];
}

/* Deliver each complete frame of the read buffer to the owner. */
static void receive_frames(struct rj_tcp_link *link)
{
	struct rj_link_buffer *in = &link->in;

	while (!link->ended && in->end - in->start >= FRAME_LENGTH_BYTES) {
		uint32_t length = next_frame_length(link);
		struct rj_bytes frame;

		if (length > link->frame_max) {
			rj_tcp_link_close(link, RJ_PEER_CLOSE_OVERSIZED);
			return;
		}
		if (in->end - in->start < FRAME_LENGTH_BYTES + length)
			return;
		frame.data = in->data + in->start + FRAME_LENGTH_BYTES;
		frame.length = length;
		link->ops->frame(link, frame);
		buffer_consume(in, FRAME_LENGTH_BYTES + length);
	}
}

/* Whether a failed socket call should be retried later. */
static bool is_transient(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/* Read up to READ_MAX_BYTES and handle the complete frames. */
static void on_readable(struct rj_tcp_link *link)
{
	ssize_t got;

	buffer_reserve(&link->in, link->mem, READ_MAX_BYTES);
	got = recv(link->fd, link->in.data + link->in.end, READ_MAX_BYTES, 0);
	if (got > 0) {
		link->in.end += (uint32_t)got;
		receive_frames(link);
		return;
	}
	if (got == 0)
		rj_tcp_link_close(link, RJ_PEER_CLOSE_END);
	else if (!is_transient(errno))
		rj_tcp_link_close(link, RJ_PEER_CLOSE_IO);
}

/* Send queued bytes with one call. */
static void on_writable(struct rj_tcp_link *link)
{
	struct rj_link_buffer *out = &link->out;
	ssize_t sent;

	if (out->start != out->end) {
		sent = send(link->fd, out->data + out->start,
			    out->end - out->start, MSG_NOSIGNAL);
		if (sent > 0)
			buffer_consume(out, (uint32_t)sent);
		else if (sent < 0 && !is_transient(errno))
			rj_tcp_link_close(link, RJ_PEER_CLOSE_IO);
	}
	if (!link->ended && out->start == out->end)
		TEVENT_FD_NOT_WRITEABLE(link->fd_event);
}

/* Handle the result of a non-blocking connect. */
static void on_connect_done(struct rj_tcp_link *link)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &length) ||
	    error) {
		rj_tcp_link_close(link, RJ_PEER_CLOSE_IO);
		return;
	}
	link->connecting = false;
	link->ops->connected(link);
}

/* Handle readiness of the socket. */
static void on_fd(struct tevent_context *loop, struct tevent_fd *fd_event,
		  uint16_t flags, void *private_data)
{
	struct rj_tcp_link *link = private_data;

	if (link->connecting) {
		on_connect_done(link);
		return;
	}
	if (flags & TEVENT_FD_WRITE)
		on_writable(link);
	if (!link->ended && (flags & TEVENT_FD_READ))
		on_readable(link);
}

/*
 * Start a link on `fd`, a non-blocking socket that the link takes over. With
 * `connecting`, `connected` is called once the connection is established.
 * Buffers are talloc children of `mem`, which must outlive the link.
 */
void rj_tcp_link_init(struct rj_tcp_link *link, void *mem,
		      const struct rj_tcp_link_ops *ops,
		      struct tevent_context *loop, int fd, bool connecting)
{
	uint16_t flags = TEVENT_FD_READ;

	if (connecting)
		flags |= TEVENT_FD_WRITE;
	memset(link, 0, sizeof(*link));
	link->ops = ops;
	link->loop = loop;
	link->mem = mem;
	link->fd = fd;
	link->connecting = connecting;
	link->frame_max = RJ_FRAME_MAX_BYTES;
	link->closing = tevent_create_immediate(mem);
	link->fd_event = tevent_add_fd(loop, mem, fd, flags, on_fd, link);
	assert(link->closing && link->fd_event);
}

/*
 * Queue one frame, the concatenation of `count` parts. A link whose queue is
 * full is closed: the remote side has stopped reading, and the queued frames
 * would be outdated.
 */
void rj_tcp_link_send(struct rj_tcp_link *link, const struct rj_bytes *parts,
		      uint32_t count)
{
	struct rj_link_buffer *out = &link->out;
	uint8_t prefix[FRAME_LENGTH_BYTES];
	uint32_t length = 0;

	if (link->ended)
		return;
	for (uint32_t i = 0; i < count; i++)
		length += parts[i].length;
	assert(length <= RJ_FRAME_MAX_BYTES);
	if (out->end - out->start + FRAME_LENGTH_BYTES + length >
	    RJ_LINK_QUEUE_MAX_BYTES) {
		rj_tcp_link_close(link, RJ_PEER_CLOSE_QUEUE_FULL);
		return;
	}
	for (uint32_t i = 0; i < FRAME_LENGTH_BYTES; i++)
		prefix[i] =
			(uint8_t)(length >> (8 * (FRAME_LENGTH_BYTES - 1 - i)));
	buffer_reserve(out, link->mem, FRAME_LENGTH_BYTES + length);
	memcpy(out->data + out->end, prefix, FRAME_LENGTH_BYTES);
	out->end += FRAME_LENGTH_BYTES;
	for (uint32_t i = 0; i < count; i++) {
		if (parts[i].length)
			memcpy(out->data + out->end, parts[i].data,
			       parts[i].length);
		out->end += parts[i].length;
	}
	TEVENT_FD_WRITEABLE(link->fd_event);
}

/*
 * Send queued frames immediately, as far as the socket accepts them without
 * blocking; for the last frames before the link is finished.
 */
void rj_tcp_link_flush(struct rj_tcp_link *link)
{
	if (!link->ended && !link->connecting)
		on_writable(link);
}

/*
 * Close the socket and free the buffers, even if the link has not ended;
 * `closed` is not called any more.
 */
void rj_tcp_link_finish(struct rj_tcp_link *link)
{
	link->ended = true;
	TALLOC_FREE(link->fd_event);
	TALLOC_FREE(link->closing);
	TALLOC_FREE(link->in.data);
	TALLOC_FREE(link->out.data);
	if (link->fd >= 0)
		close(link->fd);
	link->fd = -1;
}
