// Load of many callers at once, and the memory and descriptors of the process under test.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// Samples a process's memory and descriptors. The memory is the resident memory and the bytes in
// its sockets' buffers, which the platform counts as the process's.
class MemoryWatch
{
public:
  MemoryWatch (pid_t pid, int port);
  ~MemoryWatch ();
  void Sample ();
  long
  PeakKb () const
  {
    return peak_kb_;
  }
  int
  PeakDescriptors () const
  {
    return peak_descriptors_;
  }
  // Peak of the resident memory alone, as the kernel counts it.
  long
  PeakResidentKb () const
  {
    return StatusKb ("VmHWM:");
  }

private:
  long StatusKb (const std::string &field) const;
  long UnreadKb () const;
  int Descriptors () const;
  void Run ();

  pid_t pid_;
  int port_;
  std::atomic<bool> ended_{ false };
  std::mutex mutex_;
  long peak_kb_ = 0;
  int peak_descriptors_ = 0;
  std::thread thread_;
};

// What one caller sends: a first request whose response it awaits, if any; the head; then the
// piece, up to a number of bytes; and the end.
struct Load
{
  std::string head;
  std::string piece;
  size_t bytes = SIZE_MAX;
  std::string end = "";
  int pause_ms = 0;
  std::string first = "";
};

// One chunk of a chunked body.
std::string Chunk (size_t bytes);
std::string Repeat (const std::string &text, int times);
// True if the peer has closed the connection.
bool IsClosed (int fd);
// Return: the socket, or -1.
int ConnectTo (const std::string &address, int receive_buffer_bytes = 0);

// Callers on threads of their own that send their loads at the same time and then keep their
// connections open, until Close().
class Crowd
{
public:
  // With a small receive buffer, what callers don't read stays in the process.
  Crowd (const std::string &address, int size, const std::function<Load (int)> &load,
         int receive_buffer_bytes = 0);
  ~Crowd () { Close (); }
  void Join ();
  void Close ();

private:
  bool Send (int fd, const std::string &bytes, size_t size);
  void Run (int fd, const Load &load);

  long until_ms_;
  std::vector<int> fds_;
  std::vector<std::thread> threads_;
};
