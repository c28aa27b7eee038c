/* Prints the numbers of free TCP ports, one a line. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 512

static int
open_any (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    exit (1);
  return fd;
}

static void
print_port (int fd)
{
  struct sockaddr_in addr;
  socklen_t size = sizeof addr;

  getsockname (fd, (struct sockaddr *)&addr, &size);
  printf ("%d\n", ntohs (addr.sin_port));
}

int
main (int argc, char **argv)
{
  int fds[PORTS_MAX];
  int count = argc > 1 ? atoi (argv[1]) : 1;

  if (count < 1 || count > PORTS_MAX)
    {
      fprintf (stderr, "count is '%s'; accepted: 1..%d\n", argv[1], PORTS_MAX);
      return 2;
    }
  for (int i = 0; i < count; i++)
    fds[i] = open_any ();
  for (int i = 0; i < count; i++)
    print_port (fds[i]);
  for (int i = 0; i < count; i++)
    close (fds[i]);
  return 0;
}
