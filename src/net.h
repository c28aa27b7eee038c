/* IPv4 addresses and ports. */
#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct NetAddr - an IPv4 address and port
 * @ip: address in host byte order
 * @port: port in host byte order
 */
typedef struct
{
  uint32_t ip;
  uint16_t port;
} NetAddr;

/** net_addr_parse() - parses "a.b.c.d:port"; false, with @addr undefined, when @text is malformed.
 */
bool net_addr_parse (const char *text, NetAddr *addr);

/** net_ip_parse() - parses "a.b.c.d" into host byte order; false when @text is malformed. */
bool net_ip_parse (const char *text, uint32_t *ip);

/** net_addr_text() - formats @addr as "a.b.c.d:port" into @out, at least 32 bytes; returns @out. */
const char *net_addr_text (NetAddr addr, char *out);

/** net_addr_sockaddr() - converts @addr to a socket address (network byte order). */
struct sockaddr_in net_addr_sockaddr (NetAddr addr);

/** net_set_user_timeout() - closes a TCP connection whose peer acknowledges nothing for that long.
 */
void net_set_user_timeout (int fd, unsigned int timeout_ms);
