/* Error reporting: a caller-supplied struct that receives the layer, code and text of an error. */
#pragma once

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef ErrLayer - the layer that reports an error
 */
typedef enum
{
  ERR_LAYER_NONE,
  ERR_LAYER_SETTINGS,
  ERR_LAYER_CONFIG,
  ERR_LAYER_CHART,
  ERR_LAYER_HTTP,
  ERR_LAYER_STORE,
  ERR_LAYER_RPC,
  ERR_LAYER_PLAN,
  ERR_LAYER_PROCESS,
} ErrLayer;

/**
 * struct Err - one error
 * @layer: layer that reports the error
 * @code: the layer's own code, 0 when there is no error
 * @text: human-readable message, truncated to the array's size
 */
typedef struct
{
  ErrLayer layer;
  int32_t code;
  char text[512];
} Err;

/** err_set() - sets the error, replacing any earlier one; @err may be NULL. */
void err_set (Err *err, ErrLayer layer, int32_t code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/**
 * err_wrap() - replaces layer and code of an error from a lower layer and prefixes its text
 * @context: prefix, separated from the text by a colon
 */
void err_wrap (Err *err, ErrLayer layer, int32_t code, const char *context);

/** err_layer_name() - the layer's name, for logs. */
const char *err_layer_name (ErrLayer layer);
