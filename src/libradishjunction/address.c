#include "radishjunction/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Parse an address such as `127.0.0.1:7070` or `[::1]:7070`. Host names are
 * not accepted. Returns 0, or -1 if `text` is not a valid address; `address`
 * is then zeroed.
 */
int rj_address_parse(struct rj_address *address, const char *text)
{
	const char *colon = strrchr(text, ':');
	unsigned char number[sizeof(struct in6_addr)];
	size_t length;
	unsigned long port;
	char *end;
	int family = AF_INET;

	memset(address, 0, sizeof(*address));
	if (!colon || colon == text || colon[1] < '0' || colon[1] > '9')
		return -1;
	length = (size_t)(colon - text);
	if (text[0] == '[' && colon[-1] == ']') {
		family = AF_INET6;
		text++;
		length -= 2;
	}
	port = strtoul(colon + 1, &end, 10);
	if (*end || port > UINT16_MAX || !length ||
	    length >= sizeof(address->ip))
		return -1;
	memcpy(address->ip, text, length);
	if (inet_pton(family, address->ip, number) != 1) {
		memset(address, 0, sizeof(*address));
		return -1;
	}
	address->port = (uint16_t)port;
	return 0;
}

/*
 * Format an address in the form that `rj_address_parse` accepts, with
 * brackets around an IPv6 address.
 */
void rj_address_format(char text[RJ_ADDRESS_BYTES],
		       const struct rj_address *address)
{
	snprintf(text, RJ_ADDRESS_BYTES,
		 strchr(address->ip, ':') ? "[%s]:%u" : "%s:%u", address->ip,
		 address->port);
}
