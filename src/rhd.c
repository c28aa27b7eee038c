/* Heads of responses: check before the HTTP library parses them. Pure. */
#include "rhd.h"

#include "hsc.h"
#include "lim.h"

#include <glib.h>
#include <string.h>

/* Digits of a Content-Length that a 64-bit number holds in any case. */
#define LENGTH_DIGITS_MAX 18

/* Where the status code starts in a status line. */
#define STATUS_AT 9

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

/* Moves the value to the end of the line, as h2o skips only the spaces before it. */
static char *
trim_value (char *value, char **end)
{
  char *last = *end;

  while (value < last && is_blank (*value))
    value++;
  while (last > value && is_blank (last[-1]))
    last--;
  size_t size = (size_t) (last - value);
  char *moved = *end - size;
  memmove (moved, value, size);
  memset (value, ' ', (size_t) (moved - value));
  return moved;
}

static bool
check_length (const char *value, const char *end)
{
  if (value == end || end - value > LENGTH_DIGITS_MAX)
    return false;
  while (value < end && g_ascii_isdigit (*value))
    value++;
  return value == end;
}

static bool
check_encoding (char *value, const char *end)
{
  static const char *const names[] = { "chunked", "identity" };
  size_t size = (size_t) (end - value);

  for (size_t i = 0; i < size; i++)
    value[i] = g_ascii_tolower (value[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (size == strlen (names[i]) && memcmp (value, names[i], size) == 0)
      return true;
  return false;
}

static bool
has_name (const char *line, const char *end, const char *name)
{
  size_t size = strlen (name);

  return (size_t) (end - line) >= size && g_ascii_strncasecmp (line, name, size) == 0;
}

static bool
check_header (char *line, char *end)
{
  if (has_name (line, end, "content-length:"))
    return check_length (trim_value (line + strlen ("content-length:"), &end), end);
  if (has_name (line, end, "transfer-encoding:"))
    return check_encoding (trim_value (line + strlen ("transfer-encoding:"), &end), end);
  return true;
}

bool
rhd_check (char *bytes, size_t size)
{
  size_t head_at = 0;
  bool is_status_line = true;
  bool is_followed_by_head = false;
  Hsc heads;

  hsc_start (&heads);
  if (!hsc_scan (&heads, bytes, size))
    return false;
  for (size_t at = 0; at < size;)
    {
      char *line = bytes + at;
      char *end = memchr (line, '\n', size - at);
      if (end == NULL)
        break;
      at = (size_t) (end - bytes) + 1;
      if (end > line && end[-1] == '\r')
        end--;
      if (is_status_line)
        is_followed_by_head = line[STATUS_AT] == '1';
      else if (line == end && !is_followed_by_head)
        return at - head_at <= RESPONSE_HEAD_MAX_BYTES;
      else if (line == end)
        head_at = at;
      else if (!check_header (line, end))
        return false;
      is_status_line = line == end && head_at == at;
    }
  return size - head_at <= RESPONSE_HEAD_MAX_BYTES;
}
