// Load of many callers at once, and the memory and descriptors of the process under test.
#include "crowd.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kLoadMaxMs = 4000;

long
SteadyMs ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             std::chrono::steady_clock::now ().time_since_epoch ())
      .count ();
}
}

MemoryWatch::MemoryWatch (pid_t pid, int port)
    : pid_ (pid), port_ (port), thread_ ([this] { Run (); })
{
}

MemoryWatch::~MemoryWatch ()
{
  ended_ = true;
  thread_.join ();
}

void
MemoryWatch::Sample ()
{
  long kb = StatusKb ("VmRSS:") + UnreadKb ();
  int descriptors = Descriptors ();
  std::lock_guard<std::mutex> lock (mutex_);
  peak_kb_ = std::max (peak_kb_, kb);
  peak_descriptors_ = std::max (peak_descriptors_, descriptors);
}

long
MemoryWatch::StatusKb (const std::string &field) const
{
  std::ifstream status ("/proc/" + std::to_string (pid_) + "/status");
  std::string line;
  while (std::getline (status, line))
    if (line.rfind (field, 0) == 0)
      return atol (line.c_str () + field.size ());
  return 0;
}

// Bytes in the buffers of the process's connections: received and not read, or sent and not
// acknowledged.
long
MemoryWatch::UnreadKb () const
{
  std::ifstream sockets ("/proc/net/tcp");
  std::string line;
  long bytes = 0;
  while (std::getline (sockets, line))
    {
      unsigned ip, port, peer_ip, peer_port, state, sent, unread;
      if (sscanf (line.c_str (), " %*d: %x:%x %x:%x %x %x:%x", &ip, &port, &peer_ip, &peer_port,
                  &state, &sent, &unread)
              == 7
          && state == 1 && static_cast<int> (port) == port_)
        bytes += sent + unread;
    }
  return bytes / 1024;
}

int
MemoryWatch::Descriptors () const
{
  int count = 0;
  DIR *folder = opendir (("/proc/" + std::to_string (pid_) + "/fd").c_str ());
  while (folder != nullptr && readdir (folder) != nullptr)
    count++;
  if (folder != nullptr)
    closedir (folder);
  return count - 2;
}

void
MemoryWatch::Run ()
{
  while (!ended_)
    {
      Sample ();
      std::this_thread::sleep_for (10ms);
    }
}

std::string
Chunk (size_t bytes)
{
  std::stringstream out;
  out << std::hex << bytes << "\r\n" << std::string (bytes, 'c') << "\r\n";
  return out.str ();
}

std::string
Repeat (const std::string &text, int times)
{
  std::string out;
  while (times-- > 0)
    out += text;
  return out;
}

bool
IsClosed (int fd)
{
  char byte;
  ssize_t n = recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

int
ConnectTo (const std::string &address, int receive_buffer_bytes)
{
  size_t colon = address.find (':');
  sockaddr_in addr = {};
  addr.sin_family = AF_INET;
  addr.sin_port = htons (static_cast<uint16_t> (std::stoi (address.substr (colon + 1))));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &addr.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  if (connect (fd, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

Crowd::Crowd (const std::string &address, int size, const std::function<Load (int)> &load,
              int receive_buffer_bytes)
    : until_ms_ (SteadyMs () + kLoadMaxMs)
{
  for (int i = 0; i < size; i++)
    {
      int fd = ConnectTo (address, receive_buffer_bytes);
      if (fd < 0)
        continue;
      fds_.push_back (fd);
      threads_.emplace_back ([this, fd, caller = load (i)] { Run (fd, caller); });
    }
}

void
Crowd::Join ()
{
  for (std::thread &thread : threads_)
    thread.join ();
  threads_.clear ();
}

void
Crowd::Close ()
{
  Join ();
  for (int fd : fds_)
    close (fd);
  fds_.clear ();
}

// False when the connection is closed or the load's time has passed.
bool
Crowd::Send (int fd, const std::string &bytes, size_t size)
{
  size_t sent = 0;
  while (sent < size && SteadyMs () < until_ms_)
    {
      pollfd ready = { .fd = fd, .events = POLLOUT, .revents = 0 };
      if (poll (&ready, 1, 50) == 0)
        continue;
      ssize_t n = send (fd, bytes.data () + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN)
        return false;
      sent += n > 0 ? static_cast<size_t> (n) : 0;
    }
  return sent == size;
}

void
Crowd::Run (int fd, const Load &load)
{
  if (!load.first.empty ())
    {
      timeval limit{ 2, 0 };
      char bytes[4096];
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      if (!Send (fd, load.first, load.first.size ()) || recv (fd, bytes, sizeof bytes, 0) <= 0)
        return;
    }
  if (!Send (fd, load.head, load.head.size ()))
    return;
  size_t sent = 0;
  while (sent < load.bytes && !load.piece.empty ())
    {
      size_t size = std::min (load.piece.size (), load.bytes - sent);
      if (!Send (fd, load.piece, size))
        return;
      sent += size;
      std::this_thread::sleep_for (std::chrono::milliseconds (load.pause_ms));
    }
  Send (fd, load.end, load.end.size ());
}
