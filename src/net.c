/* IPv4 addresses and ports. */
#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
net_ip_parse (const char *text, uint32_t *ip)
{
  struct in_addr parsed;

  if (inet_pton (AF_INET, text, &parsed) != 1)
    return false;
  *ip = ntohl (parsed.s_addr);
  return true;
}

bool
net_addr_parse (const char *text, NetAddr *addr)
{
  char host[32];
  char *end;
  const char *colon = strrchr (text, ':');

  if (colon == NULL || (size_t) (colon - text) >= sizeof host || colon[1] == '\0')
    return false;
  memcpy (host, text, (size_t) (colon - text));
  host[colon - text] = '\0';
  unsigned long port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port > UINT16_MAX)
    return false;
  addr->port = (uint16_t) port;
  return net_ip_parse (host, &addr->ip);
}

const char *
net_addr_text (NetAddr addr, char *out)
{
  snprintf (out, 32, "%u.%u.%u.%u:%u", addr.ip >> 24, (addr.ip >> 16) & 255, (addr.ip >> 8) & 255,
            addr.ip & 255, addr.port);
  return out;
}

struct sockaddr_in
net_addr_sockaddr (NetAddr addr)
{
  struct sockaddr_in out = { .sin_family = AF_INET,
                             .sin_port = htons (addr.port),
                             .sin_addr.s_addr = htonl (addr.ip) };

  return out;
}

void
net_set_user_timeout (int fd, unsigned int timeout_ms)
{
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}
