/* Prints numbers of free TCP ports below the range of outgoing connections, one a line. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 512
#define FIRST_PORT 10000
#define LAST_PORT 32000
#define SPREAD 131

static bool
port_is_free (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t) port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool is_free = bind (fd, (struct sockaddr *) &addr, sizeof addr) == 0;

  close (fd);
  return is_free;
}

/* Calls at the same time start at different ports, as their process numbers differ. */
int
main (int argc, char **argv)
{
  int count = argc > 1 ? atoi (argv[1]) : 1;
  int port = FIRST_PORT + (int) (((long) getpid () * SPREAD) % (LAST_PORT - FIRST_PORT));

  if (count < 1 || count > PORTS_MAX)
    {
      fprintf (stderr, "count is '%s'; accepted: 1..%d\n", argv[1], PORTS_MAX);
      return 2;
    }
  while (count > 0)
    {
      port = port + 1 > LAST_PORT ? FIRST_PORT : port + 1;
      if (!port_is_free (port))
        continue;
      printf ("%d\n", port);
      count--;
    }
  return 0;
}
