/* Read limits: bounds the memory of the requests that a server's connections are receiving. */
#pragma once

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct Rdl - connections of a server
 * @conns: RdlConn by socket
 * @checked_at_ms: time of the last check
 * @received_bytes: at the last check, memory of the larger requests, received or being received
 */
typedef struct
{
  GHashTable *conns;
  uint64_t checked_at_ms;
  uint64_t received_bytes;
} Rdl;

void rdl_init (Rdl *rdl);

/** rdl_add() - adds a connection, which is removed when it is closed. */
void rdl_add (Rdl *rdl, h2o_socket_t *sock);

/**
 * rdl_check() - pauses and resumes reading
 * @handled: set of the sockets whose requests are received and have no response yet
 *
 * While requests larger than RDL_SMALL_BYTES have more than RDL_RECEIVED_MAX_BYTES together, only
 * the largest of those being received goes on; none while those at work alone have so much.
 */
void rdl_check (Rdl *rdl, GHashTable *handled, uint64_t now_ms);
