#include "http.h"
#include "radishjunction/settings.h"

#include <assert.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Pages of the config stream are the largest answers. */
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define CONNECT_TIMEOUT_MS 2000L

struct response {
	char *text; /* talloc */
	size_t length;
};

/*
 * Write callback of libcurl: appends a chunk of the answer. A return value
 * below the chunk's length makes libcurl fail the call.
 */
static size_t append_body(char *data, size_t size, size_t count, void *user)
{
	struct response *response = user;
	size_t length = size * count;

	if (response->length + length > ANSWER_MAX_BYTES)
		return 0;
	response->text = talloc_realloc(NULL, response->text, char,
					response->length + length + 1);
	assert(response->text);
	memcpy(response->text + response->length, data, length);
	response->length += length;
	response->text[response->length] = 0;
	return length;
}

/*
 * Returns the headers of a call; the caller frees the list.
 */
static struct curl_slist *make_headers(void *mem, const struct http_call *call)
{
	/*
	 * An empty "Expect:" stops libcurl from waiting a second for a
	 * 100-continue response before it sends a long body.
	 */
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");

	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "X-Instance: radishjunction");
	if (call->token)
		headers = curl_slist_append(
			headers,
			talloc_asprintf(mem, "Authorization: Bearer %s",
					call->token));
	if (call->key)
		headers = curl_slist_append(
			headers,
			talloc_asprintf(mem, "Idempotency-Key: %s", call->key));
	return headers;
}

/*
 * Whether the failed call certainly had no effect, as no connection was
 * established.
 */
static bool never_connected(CURL *easy, CURLcode code)
{
	curl_off_t connect_us = 0;

	if (code == CURLE_COULDNT_CONNECT)
		return true;
	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_us);
	return !connect_us;
}

/*
 * Sends one request and waits for its answer.
 *
 * Each call uses a new connection: on a reused one that the server has just
 * closed, libcurl would send the request a second time.
 */
void http_call(const struct http_call *call, struct http_answer *answer)
{
	void *mem = talloc_new(NULL);
	struct response response = { NULL, 0 };
	struct curl_slist *headers = make_headers(mem, call);
	char address[RJ_ADDRESS_BYTES];
	CURL *easy = curl_easy_init();
	CURLcode code;

	assert(easy);
	memset(answer, 0, sizeof(*answer));
	rj_address_format(address, &call->address);
	curl_easy_setopt(
		easy, CURLOPT_URL,
		talloc_asprintf(mem, "http://%s%s", address, call->path));
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
	if (call->body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	code = curl_easy_perform(easy);
	if (code == CURLE_OK) {
		answer->outcome = HTTP_ANSWERED;
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE,
				  &answer->status);
		answer->json = json_loads(response.text ? response.text : "",
					  JSON_DECODE_ANY, NULL);
	} else {
		answer->outcome = never_connected(easy, code) ?
					  HTTP_UNREACHABLE :
					  HTTP_LOST;
		snprintf(answer->detail, sizeof(answer->detail), "%s: %s",
			 address, curl_easy_strerror(code));
	}
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	talloc_free(response.text);
	talloc_free(mem);
}
