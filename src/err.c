/* Error struct that callers pass down. */
#include "err.h"

#include <stdio.h>
#include <string.h>

void
err_set (Err *err, ErrLayer layer, int32_t code, const char *format, ...)
{
  va_list args;

  if (err == NULL)
    return;
  err->layer = layer;
  err->code = code;
  va_start (args, format);
  vsnprintf (err->text, sizeof err->text, format, args);
  va_end (args);
}

void
err_wrap (Err *err, ErrLayer layer, int32_t code, const char *context)
{
  char below[sizeof err->text];

  if (err == NULL)
    return;
  snprintf (below, sizeof below, "%s", err->text);
  err->layer = layer;
  err->code = code;
  snprintf (err->text, sizeof err->text, "%.120s: %.380s", context, below);
}

const char *
err_layer_name (ErrLayer layer)
{
  static const char *const names[]
      = { "none", "settings", "config", "chart", "http", "store", "rpc", "plan", "process" };

  return names[layer];
}
