/* Request messages: copies callers' requests and serializes them for upstreams and relays. */
#include "msg.h"

#include <string.h>

static const char *const hop_by_hop_headers[]
    = { "connection", "keep-alive",        "proxy-connection", "te",     "trailer",
        "upgrade",    "transfer-encoding", "content-length",   "expect", NULL };

static bool
contains_name (const char *const *names, const char *name, size_t size)
{
  for (; *names != NULL; names++)
    if (strlen (*names) == size && g_ascii_strncasecmp (*names, name, size) == 0)
      return true;
  return false;
}

bool
msg_is_hop_by_hop (const char *name, size_t size)
{
  return contains_name (hop_by_hop_headers, name, size);
}

static void
copy_headers (MsgRequest *request, h2o_req_t *h2o, const char *const *excluded)
{
  for (size_t i = 0; i < h2o->headers.size; i++)
    {
      const h2o_header_t *header = &h2o->headers.entries[i];
      const char *name = header->orig_name != NULL ? header->orig_name : header->name->base;
      size_t size = header->name->len;
      if (msg_is_hop_by_hop (name, size) || contains_name (excluded, name, size))
        continue;
      g_string_append_len (request->headers, name, (gssize) size);
      g_string_append (request->headers, ": ");
      g_string_append_len (request->headers, header->value.base, (gssize) header->value.len);
      g_string_append (request->headers, "\r\n");
    }
}

void
msg_init (MsgRequest *request, h2o_req_t *h2o, const char *const *excluded)
{
  request->method = g_strndup (h2o->method.base, h2o->method.len);
  request->path = g_strndup (h2o->path.base, h2o->path.len);
  request->host = g_strndup (h2o->authority.base, h2o->authority.len);
  request->headers = g_string_new (NULL);
  request->body = hsv_body (h2o);
  copy_headers (request, h2o, excluded);
}

void
msg_remove_header (MsgRequest *request, const char *name)
{
  GString *headers = request->headers;
  size_t name_size = strlen (name);
  size_t at = 0;

  while (at < headers->len)
    {
      const char *line = headers->str + at;
      const char *end = memchr (line, '\n', headers->len - at);
      size_t size = end != NULL ? (size_t) (end + 1 - line) : headers->len - at;
      if (g_ascii_strncasecmp (line, name, name_size) == 0 && line[name_size] == ':')
        g_string_erase (headers, (gssize) at, (gssize) size);
      else
        at += size;
    }
}

void
msg_clear (MsgRequest *request)
{
  g_free (request->method);
  g_free (request->path);
  g_free (request->host);
  g_string_free (request->headers, TRUE);
  g_bytes_unref (request->body);
}

/* Requests with these methods carry Content-Length also when the body is empty. */
static bool
has_body (const MsgRequest *request)
{
  return g_bytes_get_size (request->body) > 0 || strcmp (request->method, "POST") == 0
         || strcmp (request->method, "PUT") == 0 || strcmp (request->method, "PATCH") == 0;
}

GString *
msg_build (const MsgRequest *request, const char *extra_headers)
{
  GString *message = g_string_sized_new (512 + request->headers->len);

  g_string_append_printf (message, "%s %s HTTP/1.1\r\nHost: %s\r\n", request->method, request->path,
                          request->host);
  g_string_append_len (message, request->headers->str, (gssize) request->headers->len);
  g_string_append (message, extra_headers);
  if (has_body (request))
    g_string_append_printf (message, "Content-Length: %zu\r\n", g_bytes_get_size (request->body));
  g_string_append (message, "\r\n");
  return message;
}
