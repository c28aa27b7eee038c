/* Transport between nodes: datagrams, and calls that fetch objects. */
#pragma once

#include "onc.h"
#include "per.h"

/** struct Ptr - what carries a node's messages */
typedef struct
{
  Per *per;
  OncClient *client;
  OncServer *server;
  uv_udp_t udp;
  char *buffer;
} Ptr;

/** ptr_start() - listens on the own node's address and becomes the transport of @per. */
bool ptr_start (Ptr *transport, Per *per, uv_loop_t *loop, Err *err);

/** ptr_clear() - releases the state after the loop has ended. */
void ptr_clear (Ptr *transport);
