/* Request heads: reads the head of an HTTP/1 request from received bytes, before its body. Pure. */
#include "hed.h"

#include <glib.h>
#include <string.h>

static const char head_end[] = "\r\n\r\n";
static const char last_chunk[] = "0\r\n\r\n";

/* ---- Lines ---- */

/* Cuts off what precedes the separator; false without one. */
static bool
cut (HedText *rest, const char *separator, HedText *part)
{
  const char *found = g_strstr_len (rest->at, (gssize) rest->size, separator);

  if (found == NULL)
    return false;
  *part = (HedText){ .at = rest->at, .size = (size_t) (found - rest->at) };
  rest->size -= part->size + strlen (separator);
  rest->at = found + strlen (separator);
  return true;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static HedText
trim (HedText text)
{
  while (text.size > 0 && is_blank (text.at[0]))
    {
      text.at++;
      text.size--;
    }
  while (text.size > 0 && is_blank (text.at[text.size - 1]))
    text.size--;
  return text;
}

static bool
is_equal (HedText text, const char *other)
{
  return text.size == strlen (other) && g_ascii_strncasecmp (text.at, other, text.size) == 0;
}

/* Takes the next header; false at the end, or at a line that is none. */
static bool
next_header (HedText *lines, HedText *name, HedText *value)
{
  HedText line;

  if (!cut (lines, "\r\n", &line) || !cut (&line, ":", name) || name->size == 0
      || is_blank (name->at[0]) || is_blank (name->at[name->size - 1]))
    return false;
  *value = trim (line);
  return true;
}

/* ---- Head ---- */

static bool
read_request_line (HedText *rest, Hed *head)
{
  HedText line;

  if (!cut (rest, "\r\n", &line) || !cut (&line, " ", &head->method)
      || !cut (&line, " ", &head->path))
    return false;
  return head->method.size > 0 && head->path.size > 0 && head->path.at[0] == '/'
         && (is_equal (line, "HTTP/1.1") || is_equal (line, "HTTP/1.0"));
}

static bool
read_length (HedText value, uint64_t *bytes)
{
  char text[20];

  if (value.size == 0 || value.size >= sizeof text)
    return false;
  memcpy (text, value.at, value.size);
  text[value.size] = '\0';
  return g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, bytes, NULL);
}

/* Reads the host and the framing, which must not be ambiguous. */
static bool
read_headers (Hed *head)
{
  HedText rest = head->lines;
  HedText name;
  HedText value;
  bool has_framing = false;

  while (rest.size > 0)
    {
      bool is_length;
      if (!next_header (&rest, &name, &value))
        return false;
      if (is_equal (name, "host"))
        {
          if (head->host.at != NULL)
            return false;
          head->host = value;
        }
      is_length = is_equal (name, "content-length");
      if (!is_length && !is_equal (name, "transfer-encoding"))
        continue;
      if (has_framing || (is_length && !read_length (value, &head->body_bytes))
          || (!is_length && !is_equal (value, "chunked")))
        return false;
      has_framing = true;
      head->is_chunked = !is_length;
    }
  return head->host.at != NULL;
}

/* The server takes a line feed alone for the end of a line, and a value with one that is repeated
 * in a response would add a header to it. */
static bool
has_stray_control (const char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      bool is_control = (unsigned char) bytes[i] < ' ' || bytes[i] == 0x7f;
      bool is_line_end = (bytes[i] == '\r' && i + 1 < size && bytes[i + 1] == '\n')
                         || (bytes[i] == '\n' && i > 0 && bytes[i - 1] == '\r');
      if (is_control && bytes[i] != '\t' && !is_line_end)
        return true;
    }
  return false;
}

HedState
hed_read (const char *bytes, size_t size, Hed *head)
{
  const char *end = g_strstr_len (bytes, (gssize) size, head_end);

  *head = (Hed){ 0 };
  if (end == NULL)
    return HED_INCOMPLETE;
  head->size = (size_t) (end - bytes) + strlen (head_end);
  HedText rest = { .at = bytes, .size = head->size - strlen ("\r\n") };
  if (has_stray_control (bytes, head->size))
    return HED_UNUSUAL;
  if (!read_request_line (&rest, head))
    return HED_UNUSUAL;
  head->lines = rest;
  return read_headers (head) ? HED_READ : HED_UNUSUAL;
}

bool
hed_lacks_body (const Hed *head, const char *bytes, size_t size)
{
  size_t received = size - head->size;
  size_t end_size = strlen (last_chunk);

  if (head->is_chunked)
    return received < end_size || memcmp (bytes + size - end_size, last_chunk, end_size) != 0;
  return received < head->body_bytes;
}

char *
hed_header (const Hed *head, const char *name)
{
  HedText rest = head->lines;
  HedText found;
  HedText value;

  while (next_header (&rest, &found, &value))
    if (is_equal (found, name))
      return g_strndup (value.at, value.size);
  return NULL;
}
