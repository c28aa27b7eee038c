/* Error reporting: a caller-supplied struct that receives the layer, code and text of an error. */
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
  char inner[sizeof err->text];

  if (err == NULL)
    return;
  snprintf (inner, sizeof inner, "%s", err->text);
  err->layer = layer;
  err->code = code;
  snprintf (err->text, sizeof err->text, "%.120s: %.380s", context, inner);
}

const char *
err_layer_name (ErrLayer layer)
{
  static const char *const names[]
      = { "none", "settings", "config", "chart", "http", "store", "rpc", "plan", "process" };

  return names[layer];
}
