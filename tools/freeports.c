/* Prints free TCP ports below the ephemeral port range, one per line. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 512
#define PORT_MIN 10000
#define PORT_MAX 32000
#define PORTS_PER_PROCESS 131

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

/* The search starts at a port derived from the process id, so that concurrent runs differ. */
int
main (int argc, char **argv)
{
  int count = argc > 1 ? atoi (argv[1]) : 1;
  int port = PORT_MIN + (int) (((long) getpid () * PORTS_PER_PROCESS) % (PORT_MAX - PORT_MIN));

  if (count < 1 || count > PORTS_MAX)
    {
      fprintf (stderr, "count is '%s'; accepted: 1..%d\n", argv[1], PORTS_MAX);
      return 2;
    }
  while (count > 0)
    {
      port = port + 1 > PORT_MAX ? PORT_MIN : port + 1;
      if (!port_is_free (port))
        continue;
      printf ("%d\n", port);
      count--;
    }
  return 0;
}
