/* Transport between nodes: UDP datagrams for messages, ONC RPC calls for fetching objects. */
#pragma once

#include "onc.h"
#include "per.h"

/**
 * struct Tpt - sockets of a node's transport
 * @client: calls other nodes to fetch their objects
 * @server: replies to fetch calls of other nodes
 * @buffer: receive buffer of PER_DATAGRAM_MAX_BYTES, reused for each datagram
 */
typedef struct
{
  Per *per;
  OncClient *client;
  OncServer *server;
  uv_udp_t udp;
  char *buffer;
} Tpt;

/**
 * tpt_start() - listens on the address of @per's own node and sets the transport of @per
 *
 * Return: false with @err set if the address cannot be bound; call tpt_clear() then as well.
 */
bool tpt_start (Tpt *transport, Per *per, uv_loop_t *loop, Err *err);

/** tpt_clear() - releases the client, the server and the buffer after the loop has ended. */
void tpt_clear (Tpt *transport);
