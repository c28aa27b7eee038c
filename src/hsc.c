/* Head scanner: checks the heads of HTTP/1 responses as their bytes arrive, more strictly than the
 * HTTP libraries do. Pure. */
#include "hsc.h"

#include <string.h>

#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_FINAL_MIN 200
#define STATUS_MIN 100
#define STATUS_MAX 599

/* In the version, stands for any digit. */
#define ANY_DIGIT '#'

static const char version[] = "HTTP/1.# ";

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Whether the byte may stand in a reason phrase or in a value. */
static bool
is_text (char c)
{
  unsigned char byte = (unsigned char) c;

  return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

/* Whether the byte may stand in the name of a header field. */
static bool
is_name (char c)
{
  bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');

  return is_letter || is_digit (c) || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* ---- Status line ---- */

static bool
scan_version (Hsc *hsc, char c)
{
  char expected = version[hsc->position++];

  if (version[hsc->position] == '\0')
    {
      hsc->state = HSC_STATUS;
      hsc->position = 0;
      hsc->status = 0;
    }
  return expected == ANY_DIGIT ? is_digit (c) : c == expected;
}

static bool
is_valid_status (uint32_t status)
{
  return status >= STATUS_MIN && status <= STATUS_MAX && status != STATUS_SWITCHING_PROTOCOLS;
}

static bool
scan_status (Hsc *hsc, char c)
{
  hsc->status = hsc->status * 10 + (uint32_t) (c - '0');
  if (!is_digit (c))
    return false;
  if (++hsc->position < STATUS_DIGITS)
    return true;
  hsc->state = HSC_STATUS_END;
  return is_valid_status (hsc->status);
}

/* ---- Lines ---- */

/* Takes a byte that ends a line; false for other bytes. */
static bool
take_line_end (Hsc *hsc, char c)
{
  if (c == '\r')
    hsc->state = HSC_LINE_FEED;
  else if (c == '\n')
    hsc->state = HSC_LINE_START;
  else
    return false;
  return true;
}

static bool
scan_status_end (Hsc *hsc, char c)
{
  hsc->state = HSC_REASON;
  return c == ' ' || take_line_end (hsc, c);
}

static bool
scan_line_feed (Hsc *hsc, char c)
{
  hsc->state = HSC_LINE_START;
  return c == '\n';
}

/* After an interim response another head follows. */
static void
end_head (Hsc *hsc)
{
  if (hsc->status >= STATUS_FINAL_MIN)
    hsc->state = HSC_DONE;
  else
    hsc_start (hsc);
}

static bool
scan_head_feed (Hsc *hsc, char c)
{
  end_head (hsc);
  return c == '\n';
}

static bool
scan_line_start (Hsc *hsc, char c)
{
  if (c == '\r')
    hsc->state = HSC_HEAD_FEED;
  else if (c == '\n')
    end_head (hsc);
  else
    {
      hsc->state = HSC_NAME;
      return is_name (c);
    }
  return true;
}

static bool
scan_name (Hsc *hsc, char c)
{
  if (c != ':')
    return is_name (c);
  hsc->state = HSC_VALUE;
  return true;
}

static bool
scan_byte (Hsc *hsc, char c)
{
  switch (hsc->state)
    {
    case HSC_VERSION:
      return scan_version (hsc, c);
    case HSC_STATUS:
      return scan_status (hsc, c);
    case HSC_STATUS_END:
      return scan_status_end (hsc, c);
    case HSC_REASON:
    case HSC_VALUE:
      return take_line_end (hsc, c) || is_text (c);
    case HSC_LINE_START:
      return scan_line_start (hsc, c);
    case HSC_NAME:
      return scan_name (hsc, c);
    case HSC_LINE_FEED:
      return scan_line_feed (hsc, c);
    case HSC_HEAD_FEED:
      return scan_head_feed (hsc, c);
    case HSC_DONE:
      break;
    }
  return true;
}

/* ---- Public functions ---- */

void
hsc_start (Hsc *hsc)
{
  *hsc = (Hsc){ .state = HSC_VERSION };
}

void
hsc_start_trailer (Hsc *hsc)
{
  hsc->state = HSC_LINE_START;
}

bool
hsc_scan (Hsc *hsc, const char *bytes, size_t size)
{
  for (size_t i = 0; i < size && hsc->state != HSC_DONE; i++)
    if (!scan_byte (hsc, bytes[i]))
      return false;
  return true;
}
