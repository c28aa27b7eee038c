/* HTTP server on the event loop, over h2o. */
#pragma once

#include "err.h"
#include "net.h"

#include <glib.h>
#include <h2o.h>

typedef struct _HsvServer HsvServer;

/** typedef HsvHandler - handles a request whose body is whole; must answer it sooner or later */
typedef void (*HsvHandler) (void *user, h2o_req_t *req);

/** hsv_start() - listens on @addr; port 0 takes a free one. NULL with @err set on failure. */
HsvServer *hsv_start (uv_loop_t *loop, NetAddr addr, HsvHandler handler, void *user, Err *err);

/** hsv_port() - the port in use. */
uint16_t hsv_port (const HsvServer *server);

/** hsv_stop_listening() - closes the listener; open connections end after their requests. */
void hsv_stop_listening (HsvServer *server);

/** hsv_set_limits() - longest idle time of a caller, and largest body of a request. */
void hsv_set_limits (HsvServer *server, uint32_t idle_ms, size_t body_bytes);

/** hsv_announce_stop() - answers from now on say that their connection ends. */
void hsv_announce_stop (HsvServer *server);

/** typedef HsvStepFn - runs before each step of a server's work */
typedef void (*HsvStepFn) (void *user);

/** hsv_before_steps() - @fn runs before each connection and each request is taken. */
void hsv_before_steps (HsvServer *server, HsvStepFn fn, void *user);

/** typedef HsvGoneFn - the caller closed its connection before the answer */
typedef void (*HsvGoneFn) (void *user);

/** hsv_watch_gone() - calls @fn once if the caller goes before hsv_unwatch_gone(). Return: a key.
 */
void *hsv_watch_gone (HsvServer *server, h2o_req_t *req, HsvGoneFn fn, void *user);
void hsv_unwatch_gone (HsvServer *server, void *key);

/** hsv_send() - sends a whole answer with a body that is copied; headers were added before. */
void hsv_send (h2o_req_t *req, int status, const void *body, size_t size);

/** hsv_send_until_close() - as hsv_send(), but the end is marked only by closing the connection. */
void hsv_send_until_close (h2o_req_t *req, int status, const void *body, size_t size);

/**
 * hsv_close_if_more() - the answer says that its connection ends if a further request waits behind
 *
 * Its caller then sends that request anew at once, and it is not held up by the order of answers.
 */
void hsv_close_if_more (h2o_req_t *req);

/** hsv_reply() - sends a whole answer; @type may be NULL. */
void hsv_reply (h2o_req_t *req, int status, const char *type, const char *body);

/** hsv_path() - the path without query, as a new string. */
char *hsv_path (h2o_req_t *req);

/** hsv_query() - a query parameter, as a new string or NULL. */
char *hsv_query (h2o_req_t *req, const char *name);

/** hsv_query_uint() - a query parameter as a number, or @fallback. */
uint64_t hsv_query_uint (h2o_req_t *req, const char *name, uint64_t fallback);

/** hsv_header() - a request header by name without regard to case, as a new string or NULL. */
char *hsv_header (h2o_req_t *req, const char *name);

/** hsv_add_header() - adds an answer header; texts are copied. */
void hsv_add_header (h2o_req_t *req, const char *name, const char *value);

/** hsv_method_is() - compares the request's method. */
bool hsv_method_is (h2o_req_t *req, const char *method);

/** hsv_peer_ip() - the caller's IPv4 address in host byte order. */
uint32_t hsv_peer_ip (h2o_req_t *req);
