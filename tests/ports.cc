// Ports for the programs and stand-ins of one test process.
#include "ports.h"

#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace
{
// The first port of a range that no other test process has while this one runs: a node binds its
// ports some time after they were chosen for it, and on an address of its own. The ranges are below
// the ephemeral ports, so that outgoing connections don't take them.
int
TakePortRange (int ports)
{
  constexpr int kFirstPort = 10000;
  constexpr int kEndPort = 30000;
  const int ranges = (kEndPort - kFirstPort) / ports;
  const std::string folder = "/tmp/cardamom-test-ports";
  mkdir (folder.c_str (), 0777);
  for (int i = 0; i < ranges; i++)
    {
      int range = (getpid () + i) % ranges;
      std::string path = folder + "/" + std::to_string (range);
      int fd = open (path.c_str (), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
      if (fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) == 0)
        return kFirstPort + range * ports; // the lock lasts until the process ends
      close (fd);
    }
  fprintf (stderr, "no free range of ports in %s\n", folder.c_str ());
  abort ();
}

bool
IsPortFree (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons (static_cast<uint16_t> (port));
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bool free = bind (fd, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0;
  close (fd);
  return free;
}
}

int
FreePort ()
{
  constexpr int kPortsPerRange = 100;
  constexpr int kNodePorts = 10; // from the last one of a node on
  static std::mutex mutex;
  static int next = 0;
  static int end = 0;
  std::lock_guard<std::mutex> lock (mutex);
  while (true)
    {
      if (next == end)
        {
          next = TakePortRange (kPortsPerRange);
          end = next + kPortsPerRange - kNodePorts;
        }
      int port = next++;
      if (IsPortFree (port))
        return port;
    }
}
