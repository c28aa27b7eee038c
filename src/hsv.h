/* HTTP server on a libuv event loop, built on h2o. */
#pragma once

#include "err.h"
#include "hed.h"
#include "mbg.h"
#include "net.h"
#include "rdl.h"
#include "wrt.h"

#include <glib.h>
#include <h2o.h>

typedef struct _HsvServer HsvServer;

/**
 * typedef HsvHandler - handles a request after its whole body was received
 *
 * It must send a response, during the call or later.
 */
typedef void (*HsvHandler) (void *user, h2o_req_t *req);

/**
 * hsv_start() - starts a server that listens on @addr; with port 0 on any free port
 *
 * Return: the server, or NULL with @err set when it cannot listen on the address.
 */
HsvServer *hsv_start (uv_loop_t *loop, NetAddr addr, HsvHandler handler, void *user, Err *err);

/** hsv_port() - the port that the server listens on. */
uint16_t hsv_port (const HsvServer *server);

/** hsv_unwritten_bodies() - bodies of hsv_send_body() that the kernel has not taken whole. */
uint32_t hsv_unwritten_bodies (const HsvServer *server);

/** hsv_stop_listening() - closes the listener; open connections are closed after their
 * current requests. */
void hsv_stop_listening (HsvServer *server);

/** hsv_set_limits() - sets how long a connection may wait for a request, and the largest
 * request body. */
void hsv_set_limits (HsvServer *server, uint32_t idle_ms, size_t body_bytes);

/** hsv_set_budget() - receives requests and sends responses within the process's memory budget. */
void hsv_set_budget (HsvServer *server, Mbg *mbg, RdlRole role);

/** hsv_count_traffic() - counts the bytes of the server's connections in @traffic; the server has a
 * budget. */
void hsv_count_traffic (HsvServer *server, TrfCount *traffic);

/** hsv_set_rejection_headers() - header lines of the responses with which the budget rejects
 * requests: @retry if the request may be repeated, @common for all; static texts that end with
 * CRLF. */
void hsv_set_rejection_headers (HsvServer *server, const char *retry, const char *common);

/** hsv_close_stalled() - reads on from connections for which there is memory again, and closes
 * those without progress that hold memory which others need; to be called periodically. */
void hsv_close_stalled (HsvServer *server);

/** hsv_drain_connections() - each connection is closed after its next response, which announces it
 * ("connection: close"); the listener stays open. */
void hsv_drain_connections (HsvServer *server);

/**
 * struct HsvReply - a response that is sent before the request's body is received
 * @headers: header lines, each with its CRLF
 */
typedef struct
{
  int status;
  const char *body;
  GString *headers;
} HsvReply;

/** typedef HsvHeadFn - whether a request is rejected with @reply, by its head alone; called at most
 * once for a request, and only if its body is not complete */
typedef bool (*HsvHeadFn) (void *user, const Hed *head, HsvReply *reply);

/**
 * hsv_set_head_check() - @fn checks requests of HTTP/1 before their bodies are received; NULL: none
 *
 * The response to a rejected one announces that the connection is closed, and what follows is not
 * kept. Needs hsv_set_budget().
 */
void hsv_set_head_check (HsvServer *server, HsvHeadFn fn, void *user);

/** hsv_add_reply_header() - adds a header to a reply. */
void hsv_add_reply_header (HsvReply *reply, const char *name, const char *value);

/** typedef HsvHook - runs before the server handles an event */
typedef void (*HsvHook) (void *user);

/** hsv_set_hook() - @fn runs before each connection is accepted and before each request is
 * passed to the handler. */
void hsv_set_hook (HsvServer *server, HsvHook fn, void *user);

/** typedef HsvDisconnectFn - the caller closed its connection before the response was sent */
typedef void (*HsvDisconnectFn) (void *user);

/**
 * hsv_watch_disconnect() - calls @fn, at most once, when the caller closes its connection
 *
 * Not after the caller has sent more than HSV_PIPELINED_MAX_BYTES behind its request. Bodies of
 * more than HSV_COPIED_BODY_MAX_BYTES stay where they are in memory.
 *
 * Return: the key for hsv_unwatch_disconnect().
 */
void *hsv_watch_disconnect (HsvServer *server, h2o_req_t *req, HsvDisconnectFn fn, void *user);

/** hsv_unwatch_disconnect() - @fn is not called any more; no effect after it was called. */
void hsv_unwatch_disconnect (HsvServer *server, void *key);

/** hsv_send() - sends a response with a Content-Length; @body is copied. Headers must be added
 * before. */
void hsv_send (h2o_req_t *req, int status, const void *body, size_t size);

/**
 * struct HsvBody - a body that is not copied
 * @close_delimited: it is sent without a Content-Length: the end of the connection ends it, and if
 *   the process ends before, the connection is reset
 * @release: called with @user when the body is written or dropped; frees it
 */
typedef struct
{
  GByteArray *bytes;
  bool close_delimited;
  void (*release) (void *user, GByteArray *bytes);
  void *user;
} HsvBody;

/** hsv_send_body() - sends a response with a body that the server then owns. */
void hsv_send_body (h2o_req_t *req, int status, HsvBody body);

/**
 * hsv_close_if_pipelined() - closes the connection after the response if a pipelined request
 * follows
 *
 * The caller then resends that request on another connection at once; otherwise it would wait for
 * this response (head-of-line blocking). HTTP/1 only.
 */
void hsv_close_if_pipelined (h2o_req_t *req);

/** hsv_begin_write() - until wrt_end(), hsv_close_stalled() closes the connection if its caller
 * doesn't read and its memory is needed. */
void hsv_begin_write (h2o_req_t *req, WrtResponse *response);

/** hsv_send_text() - sends a text, which it frees, with status 200; a server with a budget counts
 * it until it is written, or responds with 503 if there is no room. */
void hsv_send_text (h2o_req_t *req, const char *media_type, char *text);

/** hsv_respond() - sends a response with a text @body; @media_type may be NULL. */
void hsv_respond (h2o_req_t *req, int status, const char *media_type, const char *body);

/** hsv_path() - the normalized path without the query, as a new string. */
char *hsv_path (h2o_req_t *req);

/** hsv_body() - the request's body, without a copy if it is larger than HSV_COPIED_BODY_MAX_BYTES:
 * its bytes are valid until the request is disposed of. */
GBytes *hsv_body (h2o_req_t *req);

/** hsv_query() - value of a query parameter as a new string, NULL if absent. */
char *hsv_query (h2o_req_t *req, const char *name);

/** hsv_query_uint() - value of a decimal query parameter, @fallback if absent. */
uint64_t hsv_query_uint (h2o_req_t *req, const char *name, uint64_t fallback);

/** hsv_header() - value of the first request header of that name (case-insensitive) as a new
 * string, NULL if absent. */
char *hsv_header (h2o_req_t *req, const char *name);

/** hsv_add_header() - adds a response header; @name and @value are copied. */
void hsv_add_header (h2o_req_t *req, const char *name, const char *value);

/** hsv_method_is() - true if the request has this method (case-sensitive). */
bool hsv_method_is (h2o_req_t *req, const char *method);

/** hsv_peer_ip() - the caller's IPv4 address in host byte order. */
uint32_t hsv_peer_ip (h2o_req_t *req);
